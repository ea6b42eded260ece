package dewlane.sim;

import static dewlane.sim.DependencyFixtures.cancelledInStore;
import static dewlane.sim.DependencyFixtures.controller;
import static dewlane.sim.DependencyFixtures.dependent;
import static dewlane.sim.DependencyFixtures.doneInStore;
import static dewlane.sim.DependencyFixtures.pollCondition;
import static dewlane.sim.DependencyFixtures.smallJob;
import static dewlane.sim.DependencyFixtures.submitThrough;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.jobs;
import static dewlane.sim.SimFixtures.partitionMap;
import static dewlane.sim.SimFixtures.runningTasks;
import static dewlane.sim.SimFixtures.submitInTurn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.Settings;
import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Jobs with dependencies: which submissions are accepted, and when the jobs start. */
class JobDependenciesTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void chainsDiamondsAndWideFansRunInDependencyOrder(long seed) {
        SimCluster cluster = cluster(seed, 9);
        int[] fan = IntStream.range(100, 140).toArray();
        List<Job> jobs = new ArrayList<>(List.of(
                smallJob(1),
                smallJob(2, 1),
                smallJob(3, 2),
                smallJob(4),
                smallJob(5, 4),
                smallJob(6, 4),
                smallJob(7, 5, 6)));
        for (int number : fan) {
            jobs.add(smallJob(number, 7));
        }
        jobs.add(smallJob(200, fan));
        submitInTurn(cluster, 0, 150, jobs);

        assertRecovers(cluster, 150_000);
        assertEquals(jobs.size(), cluster.users.accepted().size());
        assertEquals(2 * jobs.size(), cluster.checker.taskStarts, "each task started once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void dependencyMayHaveEndedBeforeSubmission(long seed) {
        SimSettings settings =
                new SimSettings().teams(SimSettings.TEAM_WITHOUT_LIMIT, new Settings.TeamQuota("red", 0, 0, 0, 0));
        SimCluster cluster = cluster(seed, 9, settings);
        assertEquals(201, submitThrough(controller(cluster, 0), smallJob(1)).status());
        assertEquals(201, submitThrough(controller(cluster, 0), smallJob(2)).status());
        cluster.users.cancelThrough(controller(cluster, 1), jobId(2));
        cluster.runUntil(40_000);
        assertTrue(doneInStore(cluster, 1) && cancelledInStore(cluster, 2));

        // After a restart no controller has ended jobs in memory.
        cluster.crashAllControllers(1000);
        cluster.runUntil(60_000);

        assertEquals(201, submitThrough(controller(cluster, 2), smallJob(3, 1)).status());
        assertEquals(
                201, submitThrough(controller(cluster, 2), smallJob(4, 1, 2)).status());
        assertEquals(JobCondition.CANCELLED, pollCondition(controller(cluster, 0), jobId(4)));
        assertRecovers(cluster, 60_000);
        assertTrue(doneInStore(cluster, 3));
    }

    @Test
    void dependencyOnJobThatWasNeverAcceptedIsRejected() {
        SimCluster cluster = cluster(4, 9);
        assertEquals(422, submitThrough(controller(cluster, 0), smallJob(2, 1)).status());
        assertEquals(422, submitThrough(controller(cluster, 0), smallJob(3, 3)).status());
        cluster.store.outage(8000);
        assertEquals(503, submitThrough(controller(cluster, 0), smallJob(4, 1)).status());
        cluster.runFor(10_000);

        // An accepted job stays accepted, even if a repeated submission names other dependencies.
        assertEquals(201, submitThrough(controller(cluster, 1), smallJob(5)).status());
        cluster.runFor(20_000);
        cluster.crashAllControllers(500);
        cluster.runFor(15_000);

        assertEquals(200, submitThrough(controller(cluster, 1), smallJob(5, 1)).status());
        assertNull(cluster.store.get(StoreKeys.job(jobId(2))));
    }

    /** Another controller has just accepted the dependency, and the watch has not delivered it to this one yet. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void dependencyJustAcceptedByAnotherControllerIsFound(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.store.watchLagMs = 900;
        Job first = job(1, 2, 1, 20);
        cluster.users.register(first);
        cluster.users.register(smallJob(2, 1));
        List<Integer> statuses = new ArrayList<>();
        controller(cluster, 0).submit(first, answer -> {
            statuses.add(answer.status());
            controller(cluster, 1).submit(smallJob(2, 1), later -> statuses.add(later.status()));
        });
        cluster.runFor(6000);
        assertEquals(List.of(201, 201), statuses);

        cluster.store.watchLagMs = 0;

        assertRecovers(cluster, 60_000);
    }

    /**
     * The owner or all controllers crash after the last task of a dependency has ended, and before the dependant
     * starts.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void controllersThatCrashBeforeReleasingDependantLoseNothing(long seed) {
        SimCluster cluster = cluster(seed, 9);
        submitThrough(controller(cluster, 0), smallJob(1));
        submitThrough(controller(cluster, 1), smallJob(2, 1));
        submitThrough(controller(cluster, 2), smallJob(3, 2));
        RunOnce crash = new RunOnce();
        cluster.every(10, () -> {
            if (doneInStore(cluster, 1)) {
                crash.run(() -> crashAllOrOwner(cluster, seed % 2 == 0, jobId(2)));
            }
        });

        assertRecovers(cluster, 120_000);
        assertTrue(crash.hasRun() && doneInStore(cluster, 2) && doneInStore(cluster, 3));
    }

    private static void crashAllOrOwner(SimCluster cluster, boolean all, String job) {
        if (all) {
            cluster.controllers.values().forEach(controller -> controller.crash(cluster.randomBetween(200, 4000)));
        } else {
            String owner = Partitioner.ownerOf(partitionMap(cluster), StoreKeys.job(job));
            cluster.controllers.get(owner).crash(8000);
        }
    }

    /**
     * While it waits for dependencies, a job uses none of its team's quota and preempts no task; its waiting time
     * counts from the end of its last dependency.
     */
    @Test
    void waitingJobUsesNoQuotaAndPreemptsNobody() {
        SimSettings settings = new SimSettings().teams(new Settings.TeamQuota("blue", 12, 0, 12, 0));
        SimCluster cluster = cluster(9, 3, settings);
        submitThrough(controller(cluster, 0), job(1, Priority.IDLE, 1, 1, 200));
        for (int i = 2; i < 6; i++) {
            submitThrough(controller(cluster, i % 3), dependent(job(i, Priority.CRITICAL, 12, 1, 5), 1));
        }
        submitThrough(controller(cluster, 1), job(7, Priority.IDLE, 11, 1, 150));
        cluster.runFor(10_000);
        assertEquals(11, runningTasks(cluster, jobId(7)));

        int startsBefore = cluster.checker.taskStarts;
        cluster.runFor(25_000);

        assertEquals(startsBefore, cluster.checker.taskStarts, "no task was started or preempted for waiting jobs");
        assertRecovers(cluster, 700_000);
    }

    /**
     * A job of low priority that an urgent job depends on is scheduled before other jobs of its own priority that were
     * submitted first.
     */
    @Test
    void dependencyOfUrgentJobIsTreatedAsUrgent() {
        SimCluster cluster = cluster(10, 9);
        cluster.cloud.capacity = 9;
        submitThrough(controller(cluster, 0), job(1, Priority.IDLE, 300, 4, 6));
        submitThrough(controller(cluster, 0), job(2, Priority.IDLE, 1, 4, 6));
        submitThrough(controller(cluster, 1), dependent(job(3, Priority.CRITICAL, 1, 4, 2), 2));
        cluster.runFor(60_000);

        assertTrue(doneInStore(cluster, 2) && doneInStore(cluster, 3), "the pipeline was scheduled first");
        assertFalse(doneInStore(cluster, 1));
    }

    @Test
    void jobMayDependOnHundredsOfJobs() {
        SimCluster cluster = cluster(12, 9);
        submitInTurn(cluster, 0, 160, jobs(100, 399, i -> job(i, 1, 1, 1)));
        cluster.runFor(60_000);

        int[] dependencies = IntStream.range(100, 400).toArray();
        Effect.AnswerUser answer = submitThrough(controller(cluster, 2), smallJob(500, dependencies));

        assertEquals(201, answer.status());
        assertRecovers(cluster, 120_000);
        assertTrue(doneInStore(cluster, 500));
    }
}
