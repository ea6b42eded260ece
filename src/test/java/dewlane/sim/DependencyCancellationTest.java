package dewlane.sim;

import static dewlane.sim.DependencyFixtures.cancelledInStore;
import static dewlane.sim.DependencyFixtures.controller;
import static dewlane.sim.DependencyFixtures.doneInStore;
import static dewlane.sim.DependencyFixtures.pollCondition;
import static dewlane.sim.DependencyFixtures.smallJob;
import static dewlane.sim.DependencyFixtures.submitThrough;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.runningTasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The cancellation of a job cancels all its dependants, also during faults and concurrent submissions. */
class DependencyCancellationTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancellationPassesDownToAllDependants(long seed) {
        SimCluster cluster = cluster(seed, 9);
        List<Job> jobs = List.of(
                job(1, 3, 1, 60), smallJob(2, 1), smallJob(3, 2), smallJob(4), smallJob(5, 3, 4), smallJob(6, 4));
        for (int i = 0; i < jobs.size(); i++) {
            submitThrough(controller(cluster, i % 3), jobs.get(i));
        }
        cluster.runFor(4000);
        assertTrue(runningTasks(cluster, jobId(1)) > 0);

        cluster.users.cancelThrough(controller(cluster, 1), jobId(1));
        cluster.runFor(1500);
        for (int number : new int[] {1, 2, 3, 5}) {
            for (SimController controller : cluster.controllers.values()) {
                assertEquals(JobCondition.CANCELLED, pollCondition(controller, jobId(number)), jobId(number));
            }
        }

        assertRecovers(cluster, 90_000);
        assertTrue(doneInStore(cluster, 4) && doneInStore(cluster, 6));
        assertTrue(cancelledInStore(cluster, 2) && cancelledInStore(cluster, 3) && cancelledInStore(cluster, 5));
    }

    /** The store is unavailable from just after the confirmation until after the cancellation deadline. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void outageAfterConfirmationDoesNotKeepDependantsFromBeingCancelled(long seed) {
        SimCluster cluster = cluster(seed, 9);
        submitThrough(controller(cluster, 0), job(1, 3, 1, 300));
        for (int i = 2; i < 8; i++) {
            submitThrough(controller(cluster, i % 3), smallJob(i, i - 1));
        }
        cluster.runFor(6000);

        cluster.users.cancelThrough(controller(cluster, 1), jobId(1));
        cluster.runFor(60);
        cluster.store.outage(75_000);
        cluster.runFor(74_000);
        cluster.crashAllControllers(300);
        cluster.runFor(2000);
        cluster.every(200, () -> pollDependantInTurn(cluster));
        assertRecovers(cluster, 60_000);
        for (int i = 2; i < 8; i++) {
            assertTrue(cancelledInStore(cluster, i), jobId(i));
        }
    }

    private static void pollDependantInTurn(SimCluster cluster) {
        String job = jobId(2 + (int) (cluster.now() / 200 % 6));
        cluster.controllers.values().stream()
                .filter(controller -> controller.alive)
                .forEach(controller -> cluster.users.pollThrough(controller, job));
    }

    /**
     * Jobs are submitted while their dependency is being cancelled. Whichever is committed first, these jobs end as
     * cancelled.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void submissionThatRacesCancellationOfItsDependencyIsCancelledToo(long seed) {
        SimCluster cluster = cluster(seed, 9);
        submitThrough(controller(cluster, 0), job(1, 3, 1, 300));
        cluster.runFor(3000);

        cluster.store.watchLagMs = 700;
        cluster.users.cancelThrough(controller(cluster, 1), jobId(1));
        for (int i = 0; i < 6; i++) {
            Job dependant = smallJob(10 + i, 1);
            cluster.after(4L * i, () -> cluster.users.submit(dependant));
        }
        cluster.runFor(3000);
        cluster.store.watchLagMs = 0;
        assertRecovers(cluster, 90_000);
        for (int i = 0; i < 6; i++) {
            assertTrue(cancelledInStore(cluster, 10 + i), jobId(10 + i));
        }
    }

    @Test
    void dependantOfJobThatKeepsFailingIsCancelledWithIt() {
        SimCluster cluster = cluster(8, 6);
        cluster.workers().forEach(worker -> worker.failsTasks = true);
        submitThrough(controller(cluster, 0), smallJob(1));
        submitThrough(controller(cluster, 1), smallJob(2, 1));
        cluster.runFor(30_000);
        assertEquals(JobCondition.PENDING, pollCondition(controller(cluster, 0), jobId(2)));

        cluster.workers().forEach(worker -> worker.failsTasks = false);
        cluster.users.cancel(jobId(1));

        assertRecovers(cluster, 90_000);
        assertTrue(cancelledInStore(cluster, 1) && cancelledInStore(cluster, 2));
    }
}
