package dewlane.sim;

import static dewlane.sim.SimFixtures.anotherController;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.clusterRunning;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.runningTasks;
import static dewlane.sim.SimFixtures.workersRunning;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.schema.StoreKeys;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The store refuses the leader's requests while another controller confirms a cancellation, and then becomes
 * unavailable to all controllers for longer than the cancellation deadline. The leader, whose cache of the store lacks
 * the cancellation, must still get the cancelled tasks stopped in time.
 */
class StoreOutageTest {
    private static final String JOB = jobId(1);

    /** Whether the leader, which the store refuses, receives the cancellation from its peers. */
    private enum LeaderNotice {
        INFORMED,
        /**
         * The controller that confirms crashes at once, so that the leader, which still receives statuses from another
         * peer, learns nothing of the cancellation.
         */
        UNINFORMED
    }

    /** Returns the time at which the cancellation was confirmed. */
    private static long cancelWhileLeaderIsRefusedThenOutage(
            SimCluster cluster, long cancelAfterMs, LeaderNotice notice) {
        SimController leader = leader(cluster);
        cluster.store.refusedControllers.add(leader.name);
        cluster.runFor(cancelAfterMs);
        SimController confirming = anotherController(cluster, leader);
        cluster.users.cancelThrough(confirming, JOB);
        for (int step = 0; step < 200 && cluster.checker.lastReportedCondition(JOB) != JobCondition.CANCELLED; step++) {
            cluster.runFor(5);
        }
        if (notice == LeaderNotice.UNINFORMED) {
            confirming.crash(50_000);
        }
        cluster.runFor(700);
        assertEquals(
                JobCondition.CANCELLED,
                cluster.checker.lastReportedCondition(JOB),
                "another controller confirmed the cancellation");
        long confirmedAt = cluster.now();
        cluster.store.outage(cancellationDeadlineMs(cluster) + 12_000);
        return confirmedAt;
    }

    private static long cancellationDeadlineMs(SimCluster cluster) {
        return (long) (cluster.settings.cancellationDeadlineS() * 1000);
    }

    /**
     * The leader never learns of the cancellation, and workers with cancelled tasks keep sending it heartbeats. It must
     * stop renewing their leases in time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void outageAfterCancellationThatLeaderMissedEndsTasksInTime(long seed) {
        SimCluster cluster = clusterRunning(seed, 9, 25_000, job(1, 18, 2, 400));
        assertEquals(18, runningTasks(cluster, JOB));
        SimController leader = leader(cluster);

        long confirmedAt = cancelWhileLeaderIsRefusedThenOutage(cluster, 300 * seed, LeaderNotice.UNINFORMED);

        assertTrue(
                cluster.workers().stream()
                        .anyMatch(worker -> worker.runningTasks() > 0
                                && worker.heartbeats.target().equals(leader.name)),
                "tasks run on machines that report to the refused leader");
        cluster.runUntil(confirmedAt + 10_000);
        assertTrue(runningTasks(cluster, JOB) > 0, "the leader cannot have learned of the cancellation");
        cluster.runUntil(confirmedAt + cancellationDeadlineMs(cluster));
        assertEquals(0, runningTasks(cluster, JOB));
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 200_000);
    }

    /**
     * While peers still reach one another, the owner stops the cancelled tasks at once, and those of other jobs
     * continue.
     */
    @Test
    void outageAfterCancellationReportedByPeersStopsOnlyCancelledTasksAtOnce() {
        SimCluster cluster = clusterRunning(6, 9, 25_000, job(1, 10, 2, 400), job(2, 8, 2, 50));

        long confirmedAt = cancelWhileLeaderIsRefusedThenOutage(cluster, 500, LeaderNotice.INFORMED);

        cluster.runUntil(confirmedAt + 4000);
        assertEquals(0, runningTasks(cluster, JOB));
        assertEquals(8, runningTasks(cluster, jobId(2)));
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 300_000);
    }

    /** Machines that freeze with a cancelled task are deleted although no decommission record can be written. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void frozenWorkersWithCancelledTasksAreDeletedDuringOutage(long seed) {
        SimCluster cluster = clusterRunning(seed, 9, 25_000, job(1, 18, 2, 400));
        List<SimWorker> frozen = workersRunning(cluster, JOB).subList(0, 4);
        frozen.forEach(worker -> worker.frozenUntil = 500_000);

        long confirmedAt = cancelWhileLeaderIsRefusedThenOutage(cluster, 500, LeaderNotice.INFORMED);

        cluster.runUntil(confirmedAt + 50_000);
        assertTrue(cluster.store.unavailable, "the store is still unavailable");
        assertTrue(frozen.stream().allMatch(worker -> worker.terminated), "frozen machines were deleted");
        cluster.runUntil(confirmedAt + 75_000);
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 200_000);
    }

    /**
     * Launches that were recorded before the outage and did not reach the workers are not sent again by a controller
     * whose cache of the store lacks the cancellation.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void launchIsNotResentFromReplicaThatLacksItsCancellation(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.users.submit(job(1, 18, 2, 60));
        cluster.workers().forEach(worker -> worker.inboundBlocked = true);
        cluster.runUntil(10_300 + 20 * seed);
        assertFalse(cluster.store.scan(StoreKeys.SLICES).isEmpty(), "launches were recorded");
        assertEquals(0, cluster.checker.taskStarts, "no launch arrived");

        long confirmedAt = cancelWhileLeaderIsRefusedThenOutage(cluster, 0, LeaderNotice.UNINFORMED);

        cluster.runUntil(confirmedAt + 5000);
        cluster.workers().forEach(worker -> worker.inboundBlocked = false);
        cluster.runUntil(confirmedAt + 75_000);
        assertEquals(0, cluster.checker.taskStarts, "no launch arrived later");
        cluster.store.refusedControllers.clear();
        assertRecovers(cluster, 200_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void cancellationsAreConfirmedWhileStoreIsSlowThenRefusesLeaderThenIsUnavailable(long seed) {
        SimCluster cluster = clusterRunning(seed, 8, 22_000, job(1, 12, 2, 300), job(2, 2, 2, 300));

        cluster.every(300, cluster.users::pollRandomJob);
        cluster.store.extraLatencyMs = 1300;
        cluster.runUntil(28_000);
        cluster.users.cancel(jobId(2));
        cluster.runUntil(31_000);
        SimController leader = leader(cluster);
        cluster.store.refusedControllers.add(leader.name);
        cluster.users.cancelThrough(anotherController(cluster, leader), JOB);
        cluster.runUntil(35_500);
        assertEquals(JobCondition.CANCELLED, cluster.checker.lastReportedCondition(JOB));
        cluster.store.outage(70_000);
        cluster.runUntil(106_500);
        cluster.store.refusedControllers.clear();
        cluster.store.extraLatencyMs = 0;

        assertRecovers(cluster, 200_000);
    }
}
