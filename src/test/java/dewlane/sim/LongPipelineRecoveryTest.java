package dewlane.sim;

import static dewlane.sim.DependencyFixtures.cancelledInStore;
import static dewlane.sim.DependencyFixtures.controller;
import static dewlane.sim.DependencyFixtures.dependent;
import static dewlane.sim.DependencyFixtures.pollCondition;
import static dewlane.sim.DependencyFixtures.smallJob;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.submitInTurn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.SmallStack;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A pipeline that is longer than the stack is deep, through the life of a cluster. */
class LongPipelineRecoveryTest {
    private static final int JOBS = 1000;
    private static final long SUBMISSION_INTERVAL_MS = 160;

    /**
     * Guards against a reported fault: after the cancellation of the urgent last job of a long pipeline, controllers
     * answered no question any more, and not after a restart either. With odd seeds the first job fails all the time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void questionsAboutLongPipelineAreAnsweredAfterCancellationAndRestart(long seed) {
        SmallStack.run(() -> {
            SimCluster cluster = cluster(seed, 3);
            cluster.workers().forEach(worker -> worker.failsTasks = seed % 2 == 1);
            submitInTurn(cluster, 0, SUBMISSION_INTERVAL_MS, pipeline());
            cluster.runFor(JOBS * SUBMISSION_INTERVAL_MS + 10_000);
            assertEquals(JOBS, cluster.users.accepted().size());
            assertAnswered(cluster, JobCondition.PENDING);

            cluster.crashAllControllers(1000);
            cluster.runFor(15_000);
            assertAnswered(cluster, JobCondition.PENDING);

            cluster.users.cancelThrough(controller(cluster, 0), jobId(JOBS));
            cluster.runFor(2000);
            assertAnswered(cluster, JobCondition.PENDING);

            cluster.users.cancelThrough(controller(cluster, 1), jobId(1));
            cluster.runFor(2000);
            cluster.crashAllControllers(1000);
            cluster.runFor(15_000);
            assertAnswered(cluster, JobCondition.CANCELLED);
            assertRecovers(cluster, 300_000);
            assertTrue(cancelledInStore(cluster, JOBS / 2));
        });
    }

    /** Asserts that each controller answers a question about a job in the middle of the pipeline. */
    private static void assertAnswered(SimCluster cluster, JobCondition expected) {
        for (SimController controller : cluster.controllers.values()) {
            assertEquals(expected, pollCondition(controller, jobId(JOBS / 2)), controller.name);
        }
    }

    private static List<Job> pipeline() {
        List<Job> jobs = new ArrayList<>(List.of(job(1, Priority.IDLE, 1, 1, 10_000)));
        for (int number = 2; number < JOBS; number++) {
            jobs.add(smallJob(number, number - 1));
        }
        jobs.add(dependent(job(JOBS, Priority.CRITICAL, 1, 1, 4), JOBS - 1));
        return jobs;
    }
}
