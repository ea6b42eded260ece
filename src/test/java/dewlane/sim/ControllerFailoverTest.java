package dewlane.sim;

import static dewlane.sim.SimFixtures.anotherController;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.clusterRunning;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.jobs;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.partitionMap;
import static dewlane.sim.SimFixtures.runningTasks;
import static dewlane.sim.SimFixtures.submitInTurn;
import static dewlane.sim.SimFixtures.workersRunning;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.Settings;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.schema.StoreKeys;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers crash, together or one after the other, while other parts fail or tasks are being launched and cancelled.
 */
class ControllerFailoverTest {
    private static final String JOB = jobId(1);

    /**
     * Runs with the times of the deployments with the shortest and the longest worker lease: timeouts in the code must
     * follow from these settings, and must not be fixed numbers of seconds.
     */
    @ParameterizedTest
    @CsvSource({"2.5, 14, 44", "5, 31, 61"})
    void crashesAndRollingRestartLoseNoTaskAtAnyLease(
            double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {
        SimCluster cluster =
                cluster(4, 12, new SimSettings().workerTimes(heartbeatIntervalS, leaseS, cancellationDeadlineS));
        cluster.users.submit(job(1, 24, 2, 150));
        cluster.runUntil(25_000);

        leader(cluster).crash(8000);
        cluster.runUntil(50_000);
        for (SimController controller : List.copyOf(cluster.controllers.values())) {
            controller.crash(2000);
            cluster.runFor(15_000);
        }
        assertEquals(24, cluster.checker.taskStarts);
        assertEquals(12, cluster.workers().size());
        cluster.users.submit(job(2, 12, 1, 300));
        cluster.runUntil(110_000);
        SimController refused = leader(cluster);
        cluster.store.refusedControllers.add(refused.name);
        cluster.users.cancelThrough(anotherController(cluster, refused), jobId(2));
        cluster.runUntil(111_000);
        cluster.store.outage((long) (1000 * cancellationDeadlineS) + 10_000);
        cluster.runUntil(111_000 + (long) (1000 * cancellationDeadlineS));
        assertEquals(0, runningTasks(cluster, jobId(2)));
        cluster.store.refusedControllers.clear();

        assertRecovers(cluster, 400_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void tenLeaderChangesInTwoMinutesAndOutageLoseNoJob(long seed) {
        SimCluster cluster = clusterRunning(seed, 8, 20_000, job(1, 12, 2, 150));

        List<String> leaders = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            SimController leader = leader(cluster);
            leaders.add(leader.name + "@" + partitionMap(cluster).incarnation(leader.name));
            if (leader.alive) {
                leader.crash(3000);
            }
            cluster.users.submit(job(2 + i, 3, 1, 3));
            if (i == 5) {
                cluster.store.outage(9000);
            }
            cluster.runFor(11_000);
        }

        assertTrue(leaders.stream().distinct().count() >= 10, "leaders: " + leaders);
        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leaderChangesBetweenTaskEndsStartEachTaskOnce(long seed) {
        SimCluster cluster = cluster(seed, 1);
        cluster.cloud.capacity = 1;
        for (int i = 1; i <= 3; i++) {
            cluster.users.submit(job(i, 1 + i % 3, 4, 25));
        }
        int starts = 0;
        for (int i = 0; i < 6; i++) {
            int startsBefore = cluster.checker.taskStarts;
            cluster.runFor(25_000);
            starts += cluster.checker.taskStarts - startsBefore;
            leader(cluster).crash(2000);
        }

        assertTrue(starts >= 4, "tasks ran one after the other, starts: " + starts);
        assertRecovers(cluster, 200_000);
        assertEquals(6, cluster.checker.taskStarts, "each task started once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leaderCrashWhileWorkersAreUnreachableLosesOnlyTheirTasks(long seed) {
        SimCluster cluster = clusterRunning(seed, 9, 25_000, job(1, 18, 2, 90));

        List<SimWorker> workers = List.copyOf(cluster.workers());
        workers.get(0).disconnected = true;
        workers.get(1).disconnected = true;
        workers.get(2).inboundBlocked = true;
        workers.get(3).inboundBlocked = true;
        leader(cluster).crash(8000);
        cluster.runUntil(33_000);
        assertTrue(partitionMap(cluster).members().size() < 3, "the leader was evicted from the partition map");
        workers.get(1).disconnected = false;
        workers.get(3).inboundBlocked = false;
        cluster.runUntil(80_000);
        workers.get(0).disconnected = false;
        workers.get(2).inboundBlocked = false;

        assertRecovers(cluster, 300_000);
        assertTrue(cluster.checker.taskStarts > 18, "tasks of machines that stayed unreachable were restarted");
        assertTrue(workers.stream().skip(4).noneMatch(worker -> worker.terminated), "no other machine was deleted");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allControllersDownForLongerThanLeaseRestartsEveryTask(long seed) {
        SimCluster cluster = clusterRunning(seed, 6, 20_000, job(1, 12, 2, 80), job(2, 2, 2, 80));

        cluster.users.cancel(jobId(2));
        cluster.runUntil(20_500);
        cluster.crashAllControllers(36_000);
        cluster.runUntil(56_000);

        assertEquals(0, runningTasks(cluster, JOB), "the worker leases have expired");
        assertNotNull(cluster.store.get(StoreKeys.job(JOB)));
        assertRecovers(cluster, 300_000);
        assertTrue(cluster.checker.taskStarts >= 24, "every task was restarted");
    }

    /** Runs with a quota that is too small to be divided among the controllers, and with one that is divided. */
    @ParameterizedTest
    @ValueSource(doubles = {12, 1200})
    void leaderCrashWhileWorkersAreDisconnectedKeepsTeamWithinQuota(double quotaCpus) {
        int machines = quotaCpus > 100 ? 320 : 6;
        Settings.TeamQuota team = new Settings.TeamQuota("blue", 0, 0, quotaCpus, 0);
        SimCluster cluster = cluster(3, machines, new SimSettings().teams(team));
        cluster.cloud.capacity = machines;
        int tasks = (int) quotaCpus / 4;
        cluster.users.submit(job(1, tasks, 2, 60));
        cluster.users.submit(job(2, tasks, 2, 60));
        cluster.users.submit(job(3, tasks, 2, 10));
        cluster.runUntil(40_000);

        long running = runningTasks(cluster, JOB) + runningTasks(cluster, jobId(2)) + runningTasks(cluster, jobId(3));
        assertTrue(running * 2 > quotaCpus * 0.95, running + " tasks run, fewer than the quota allows");
        List<SimWorker> workers = workersRunning(cluster, JOB);
        List<SimWorker> lost = workers.subList(0, Math.max(1, workers.size() / 3));
        lost.forEach(worker -> worker.disconnected = true);
        leader(cluster).crash(6000);
        cluster.runUntil(41_000);
        cluster.users.cancel(JOB);
        cluster.runUntil(52_000);
        assertEquals(JobCondition.CANCELLED, cluster.checker.lastReportedCondition(JOB));
        assertTrue(
                lost.stream().anyMatch(worker -> worker.runningTasks(JOB) > 0),
                "cancelled tasks still run on disconnected workers");
        cluster.runUntil(65_000);
        lost.forEach(worker -> worker.disconnected = false);

        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void ownershipTransfersThenCrashOfAllControllersLoseNoTask(long seed) {
        SimCluster cluster = clusterRunning(seed, 9, 25_000, job(1, 18, 2, 60));

        cluster.controllers.get("n0").crash(4500);
        cluster.runUntil(34_000);
        cluster.controllers.get("n1").crash(4500);
        cluster.users.submit(job(2, 5, 1, 3));
        cluster.runUntil(43_000);
        cluster.controllers.get("n0").crash(400 * seed);
        cluster.controllers.get("n1").crash(9000);
        cluster.controllers.get("n2").crash(9000);
        cluster.runUntil(43_900);
        cluster.controllers.values().stream()
                .filter(controller -> controller.alive)
                .forEach(controller -> controller.crash(200));
        cluster.users.submit(job(3, 5, 1, 3));
        assertRecovers(cluster, 200_000);
        assertEquals(28, cluster.checker.taskStarts, "no task was lost");
        long epoch = partitionMap(cluster).epoch();

        assertTrue(epoch > 8, "epoch " + epoch);
    }

    /** Machines that boot within 2 s get tasks while writes are delayed and the leader crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leaderCrashDuringScaleOutWithDelayedWritesLosesNoJob(long seed) {
        SimCluster cluster = cluster(seed, 1);
        cluster.cloud.minBootMs = 500;
        cluster.cloud.maxBootMs = 2000;
        cluster.store.writes.delayRate = 0.3;
        submitInTurn(cluster, 600, 600, jobs(1, 8, i -> job(i, 6, 2, 15)));
        SimController first = leader(cluster);
        cluster.after(7000, () -> first.crash(4000));
        cluster.runUntil(24_000);

        int machines = cluster.workers().size();
        assertTrue(machines > 3, machines + " machines");
        assertNotEquals(first, leader(cluster), "another controller leads");
        cluster.runUntil(40_000);
        assertTrue(cluster.store.writes.delayed > 5, cluster.store.writes.delayed + " writes were delayed");
        cluster.store.writes.delayRate = 0;

        assertRecovers(cluster, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsCancelledDuringFailoverEndAsCancelled(long seed) {
        SimCluster cluster = cluster(seed, 9);
        jobs(1, 9, i -> job(i, 4, 1, 40)).forEach(cluster.users::submit);
        cluster.runUntil(16_000);

        SimController leaving = leader(cluster);
        long epoch = partitionMap(cluster).epoch();
        assertTrue(cluster.checker.taskStarts > 20, "tasks run");
        leaving.crash(6000);
        for (int i = 1; i <= 8; i++) {
            String job = jobId(i);
            cluster.after(400L * i, () -> cluster.users.cancel(job));
        }
        cluster.runUntil(30_000);
        assertTrue(partitionMap(cluster).epoch() >= epoch + 2, "ownership was transferred and transferred back");
        for (int i = 1; i <= 8; i++) {
            assertEquals(JobCondition.CANCELLED, cluster.checker.lastReportedCondition(jobId(i)));
        }

        assertRecovers(cluster, 120_000);
    }
}
