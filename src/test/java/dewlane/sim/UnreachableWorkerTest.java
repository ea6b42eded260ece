package dewlane.sim;

import static dewlane.sim.SimFixtures.assertFinished;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.clusterRunning;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.partitionMap;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.Heartbeat;
import dewlane.core.model.JobBuilder;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Regression tests with workers that are frozen, receive nothing or are terminated. */
class UnreachableWorkerTest {
    private static final long SEED = 5;
    private static final String JOB = jobId(1);

    @Test
    void frozenWorkerIsDeletedBeforeItsCancelledTaskHasRunTooLong() {
        SimCluster cluster = clusterRunning(SEED, 2, 20_000, job(1, 2, 4, 200));

        cluster.workers().forEach(worker -> worker.frozenUntil = 500_000);
        cluster.runUntil(21_000);
        cluster.users.cancel(JOB);
        cluster.runUntil(100_000);

        assertFinished(cluster, JOB);
        assertEquals(Map.of(), cluster.store.scan(StoreKeys.SLICES));
    }

    /**
     * A worker's heartbeats arrive at its controller, but replies and commands do not reach it. A heartbeat alone must
     * not count as proof that a worker can be reached.
     */
    @Test
    void workerUnreachableFromItsControllerGetsNoLaunchFromItAndIsTransferred() {
        SimCluster cluster = clusterRunning(SEED, 6, 16_000, job(1, 1, 2, 90));

        SimWorker worker = cluster.workers().stream()
                .filter(candidate -> candidate.runningTasks() > 0)
                .findFirst()
                .orElseThrow();
        worker.inboundBlockedFrom = worker.heartbeats.target();
        for (int i = 2; i < 60; i++) {
            cluster.users.submit(JobBuilder.job(jobId(i))
                    .tasks(9)
                    .cpus(0.02)
                    .memoryGb(0.01)
                    .expectedRunS(1)
                    .build());
            for (int step = 0; step < 10; step++) {
                cluster.runFor(100);
                boolean launched = hasLaunchOfOtherJobs(cluster, worker, 1_023_500);
                assertFalse(launched && cluster.now() < 28_000, "launched at " + cluster.now());
            }
        }
        assertTrue(
                partitionMap(cluster).reassignedMachines().containsKey(worker.name),
                "a controller that reaches it owns it");
        cluster.runUntil(200_000);

        assertEquals(1, cluster.recentTrace("start wk-000001/").lines().count(), "its task was not restarted");
        assertFinished(cluster, JOB);
    }

    private static boolean hasLaunchOfOtherJobs(SimCluster cluster, SimWorker worker, long afterMs) {
        return cluster.store.scan(StoreKeys.SLICES).entrySet().stream()
                .filter(entry -> !entry.getKey().contains(JOB))
                .flatMap(entry -> ((StoredValue.Slice) entry.getValue()).attempts().stream())
                .anyMatch(attempt -> attempt.machine().equals(worker.name) && attempt.launchedAtMs() > afterMs);
    }

    @Test
    void cancelledTaskOnWorkerWithBlockedInboundMessagesEndsInTime() {
        SimCluster cluster = clusterRunning(SEED, 6, 16_000, job(1, 12, 2, 200));

        SimWorker worker = cluster.workers().iterator().next();
        assertTrue(worker.runningTasks() > 0);
        worker.inboundBlocked = true;
        cluster.runUntil(17_000);
        cluster.users.cancel(JOB);
        cluster.runUntil(100_000);

        assertEquals(Map.of(), cluster.store.scan(StoreKeys.SLICES));
    }

    @Test
    void workersThatAreAllBrieflyUnreachableAreKeptAndLoseNoTask() {
        SimCluster cluster = clusterRunning(SEED, 6, 16_000, job(1, 12, 2, 60));

        cluster.workers().forEach(worker -> worker.inboundBlocked = true);
        cluster.runUntil(36_000);
        cluster.workers().forEach(worker -> worker.inboundBlocked = false);
        cluster.runUntil(150_000);

        assertEquals(6, cluster.workers().size(), "no machine was deleted");
        assertEquals(12, cluster.checker.taskStarts, "no task was restarted");
        assertFinished(cluster, JOB);
    }

    /**
     * Duplicates of a terminated machine's heartbeats arrive late, at any controller. They must not make the machine
     * count as present, nor transfer or decommission others.
     */
    @Test
    void lateDuplicateHeartbeatRestoresNoTerminatedMachineAndTransfersNone() {
        SimCluster cluster = cluster(SEED, 6);
        SimWorker terminated = cluster.workers().iterator().next();
        List<Heartbeat> duplicates =
                List.of(terminated.nextHeartbeat(), terminated.nextHeartbeat(), terminated.nextHeartbeat());
        cluster.cloud.machines.remove(terminated.name);
        terminated.terminate();
        cluster.runUntil(50_000);

        cluster.crashAllControllers(300);
        cluster.runUntil(60_000);
        StoredValue.PartitionMap mapBefore = partitionMap(cluster);
        Set<String> recordsBefore = cluster.store.scan(StoreKeys.DECOMMISSIONS).keySet();
        for (int i = 0; i < duplicates.size(); i++) {
            for (SimController controller : cluster.controllers.values()) {
                terminated.heartbeats.deliverDuplicate(duplicates.get(i), controller, 1 + 4000L * i);
            }
        }
        cluster.users.submit(job(1, 14, 2, 5));
        cluster.runUntil(140_000);
        assertEquals(mapBefore, partitionMap(cluster), "no machine was transferred");
        Map<String, StoredValue> records = cluster.store.scan(StoreKeys.DECOMMISSIONS);
        records.keySet().removeAll(recordsBefore);

        assertEquals(Map.of(), records, "no machine was decommissioned");
        assertFalse(cluster.recentTrace("wk-000001/").contains("on " + terminated.name));
        assertEquals(14, cluster.checker.taskStarts, "nothing was launched on the terminated machine");
    }
}
