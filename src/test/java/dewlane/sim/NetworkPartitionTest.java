package dewlane.sim;

import static dewlane.sim.SimFixtures.anotherController;
import static dewlane.sim.SimFixtures.assertFinished;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.clusterRunning;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.jobs;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.partitionMap;
import static dewlane.sim.SimFixtures.submitInTurn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Network partitions: controllers and workers run, but some of them cannot reach each other. */
class NetworkPartitionTest {
    private static final long SEED = 5;
    private static final String JOB = jobId(1);

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void zoneDisconnectedWithItsControllerForLongerThanLeaseRecovers(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.bootMachines(6, "west");
        cluster.runUntil(15_000);

        cluster.users.submit(job(1, 20, 2, 60));
        cluster.runUntil(25_000);
        SimController inside = cluster.controllers.get("n0");
        inside.isolate();
        for (SimWorker worker : cluster.workers()) {
            worker.blockedControllers.addAll(worker.zone.equals("west") ? List.of("n1", "n2") : List.of("n0"));
        }
        long runningInWest = cluster.workers().stream()
                .filter(worker -> worker.zone.equals("west"))
                .mapToLong(SimWorker::runningTasks)
                .sum();
        assertTrue(runningInWest > 0, "tasks run in the disconnected zone");
        cluster.users.cancelThrough(cluster.controllers.get("n1"), JOB);
        cluster.users.submit(job(2, 6, 2, 5));
        cluster.runUntil(25_000 + 1000 * (long) cluster.settings.workerLeaseS() + 25_000);
        inside.endIsolation();
        cluster.workers().forEach(worker -> worker.blockedControllers.clear());

        assertRecovers(cluster, 200_000);
    }

    /**
     * Direct commands still reach a machine whose heartbeats do not arrive. Tasks launched on it would be lost when its
     * lease expires, so it must get none once it is unresponsive.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void workerWithBlockedHeartbeatsGetsNoMoreLaunchesOnceUnresponsive(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.cloud.capacity = 6;
        cluster.runUntil(12_000);

        SimWorker worker = List.copyOf(cluster.workers()).get(0);
        worker.outboundBlocked = true;
        submitInTurn(cluster, 900, 900, jobs(1, 60, i -> job(i, 20, 1, 4)));
        cluster.runUntil(14_000);
        assertTrue(worker.runningTasks() > 0, "direct commands reach the machine");
        cluster.runUntil(40_000);
        String events = cluster.recentTrace("on " + worker.name);
        assertFalse(
                events.lines().anyMatch(line -> line.contains(" start ") && timeOf(line) > 33_000),
                "tasks were started on the unresponsive machine\n" + events);
        worker.outboundBlocked = false;

        assertRecovers(cluster, 300_000);
    }

    private static long timeOf(String traceLine) {
        return Long.parseLong(traceLine.substring(0, traceLine.indexOf(' ')));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void isolatedLeaderMissesCancellationThatItsSuccessorConfirms(long seed) {
        SimCluster cluster = clusterRunning(seed, 9, 25_000, job(1, 18, 2, 300));

        SimController leader = leader(cluster);
        leader.isolate();
        cluster.runUntil(25_000 + 1500 * seed);
        cluster.users.cancelThrough(anotherController(cluster, leader), JOB);
        cluster.every(500, () -> cluster.users.pollThrough(leader, JOB));
        cluster.runUntil(100_000);
        assertNotEquals(leader.name, Partitioner.leaderOf(partitionMap(cluster)), "another controller leads");
        leader.endIsolation();

        assertRecovers(cluster, 200_000);
    }

    /**
     * Workers that cannot reach their controller used to be redirected back to it by the others until their leases
     * expired and their tasks were lost. Their ownership must be transferred in time.
     */
    @Test
    void workersDisconnectedFromTheirControllerAreTransferredAndLoseNoTask() {
        SimCluster cluster = clusterRunning(SEED, 9, 25_000, job(1, 18, 2, 60));
        assertEquals(18, cluster.checker.taskStarts);

        cluster.controllers.get("n0").disconnectedFromWorkers = true;
        cluster.runUntil(200_000);

        assertEquals(18, cluster.checker.taskStarts, "no task was restarted");
        assertEquals(9, cluster.workers().size(), "no machine was deleted as unresponsive");
        assertFinished(cluster, JOB);
    }

    /**
     * A controller that was disconnected from the store and its workers used to decommission machines on its return
     * that others had taken over meanwhile.
     */
    @Test
    void controllerThatWasDisconnectedDecommissionsNoMachineOnItsReturn() {
        SimCluster cluster = clusterRunning(SEED, 9, 25_000, job(1, 18, 2, 80));

        SimController controller = cluster.controllers.get("n1");
        controller.disconnectedFromStore = true;
        controller.disconnectedFromWorkers = true;
        cluster.runUntil(60_000);
        controller.disconnectedFromStore = false;
        controller.disconnectedFromWorkers = false;
        cluster.runUntil(90_000);

        assertNoMachineDecommissioned(cluster);
        assertEquals(18, cluster.checker.taskStarts);
    }

    /**
     * The only live controller freezes for longer than the machine timeout. When it resumes, it must not decommission
     * machines for heartbeats that it could not receive meanwhile.
     */
    @Test
    void controllerThatWasFrozenDecommissionsNoMachineWhenItResumes() {
        SimCluster cluster = cluster(SEED, 9);
        cluster.controllers.get("n1").crash(600_000);
        cluster.controllers.get("n2").crash(600_000);
        cluster.runUntil(20_000);

        cluster.users.submit(job(1, 18, 2, 80));
        cluster.runUntil(35_000);
        // No other controller can take over its partition: leases do not expire during an outage of the store.
        cluster.store.outage(45_000);
        cluster.controllers.get("n0").freeze(44_000);
        cluster.runUntil(200_000);
        assertNoMachineDecommissioned(cluster);
        for (int i = 1; i <= 9; i++) {
            assertTrue(cluster.cloud.machines.containsKey("vm-00000" + i), "machine " + i + " was not deleted");
        }
    }

    /**
     * A controller loses the store and the other controllers, but not its workers. They must be transferred to others
     * without losing a task.
     */
    @Test
    void isolatedControllerTransfersItsWorkersAndDecommissionsNoMachine() {
        SimCluster cluster = clusterRunning(SEED, 9, 25_000, job(1, 18, 2, 60));

        SimController controller = cluster.controllers.get("n1");
        controller.isolate();
        cluster.runUntil(45_000);
        cluster.users.submit(job(2, 18, 1, 5));
        cluster.runUntil(120_000);
        assertFinished(cluster, jobId(2));
        controller.endIsolation();
        cluster.runUntil(160_000);

        assertEquals(36, cluster.checker.taskStarts, "no task was lost");
        assertNoMachineDecommissioned(cluster);
    }

    private static void assertNoMachineDecommissioned(SimCluster cluster) {
        assertEquals(Map.of(), cluster.store.scan(StoreKeys.DECOMMISSIONS));
    }
}
