package dewlane.sim;

import static dewlane.sim.SimFixtures.assertFinished;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.partitionMap;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.StoreLimits;
import dewlane.core.message.Effect;
import dewlane.core.model.Job;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.wire.StoredValueCodec;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rolling upgrades from version 0.1, during which both versions serve, and a lowering of the store's limits below the
 * size of stored values.
 */
class RollingUpgradeTest {
    private static final long SETTLED_MS = 10_000;

    /** Returns a settled cluster of three controllers of version 0.1. */
    private static SimCluster version01Cluster(long seed, int machines, StoreLimits.Limits nextLimits) {
        SimSettings settings = new SimSettings().storeLimits(new StoreLimits(SimSettings.DEFAULT_LIMITS, nextLimits));
        SimCluster cluster = SimCluster.withReliableLinks(seed, settings.build());
        cluster.cloud.capacity = machines;
        cluster.startControllers(true);
        cluster.bootMachines(machines, "east");
        cluster.runUntil(SETTLED_MS);
        return cluster;
    }

    private static SimCluster version01Cluster(long seed, int machines) {
        return version01Cluster(seed, machines, SimSettings.DEFAULT_LIMITS);
    }

    private static StoreLimits.Limits limits(int valueBytes, int txnOps) {
        return new StoreLimits.Limits(150, 40, valueBytes, txnOps);
    }

    private static void upgrade(SimCluster cluster, String controller, long restartAfterMs) {
        cluster.controllers.get(controller).upgrade(restartAfterMs);
    }

    private static void upgradeAll(SimCluster cluster, long intervalMs) {
        long at = 0;
        for (SimController controller : cluster.controllers.values()) {
            cluster.after(at, () -> controller.upgrade(2000));
            at += intervalMs;
        }
        cluster.runFor(at + 5000);
    }

    private static int largestSliceBytes(SimCluster cluster) {
        return cluster.store.scan(StoreKeys.SLICES).values().stream()
                .mapToInt(slice -> StoredValueCodec.encode(slice).length)
                .max()
                .orElse(0);
    }

    private static List<String> members(SimCluster cluster) {
        return partitionMap(cluster).members().stream()
                .map(StoredValue.Member::name)
                .toList();
    }

    /**
     * The limits include ones under which a stored slice can be split in one transaction, and ones under which it takes
     * several.
     */
    @ParameterizedTest
    @CsvSource({"1, 2048, 5", "2, 2048, 5", "3, 1024, 5", "4, 1024, 3", "5, 1024, 2", "6, 1200, 16"})
    void slicesStoredUnderLargerLimitsAreSplitToSmallerOnes(long seed, int valueBytes, int txnOps) {
        SimCluster cluster = version01Cluster(seed, 420, limits(valueBytes, txnOps));
        cluster.users.submit(job(1, 300, 4, 150));
        cluster.users.submit(job(2, 900, 1, 3));
        cluster.runUntil(25_000);

        int bytes = largestSliceBytes(cluster);
        assertTrue(bytes > valueBytes, bytes + " bytes is the largest stored slice, which must exceed the new limit");
        upgradeAll(cluster, 3000);
        cluster.store.limits.shrink();
        cluster.runFor(60_000);
        // Another controller must continue the splitting that this one leaves unfinished.
        cluster.controllers.get("n1").crash(4000);

        assertRecovers(cluster, 400_000);
        assertEquals(1200, cluster.checker.taskStarts, "every task started once");
        assertEquals(0, cluster.store.limits.exceeded, "no transaction exceeded the new limits after they applied");
    }

    /** The limits may be lowered while a controller is down whose version is not known yet. */
    @Test
    void controllerThatStaysDownDoesNotPreventSplittingOfLargeValues() {
        SimCluster cluster = version01Cluster(7, 150, limits(1024, 3));
        cluster.users.submit(job(1, 150, 4, 150));
        cluster.runUntil(25_000);
        assertTrue(largestSliceBytes(cluster) > 1024);

        cluster.controllers.get("n2").crash(900_000);
        upgrade(cluster, "n0", 2000);
        upgrade(cluster, "n1", 3000);
        cluster.runFor(10_000);
        cluster.store.limits.shrink();

        assertRecovers(cluster, 500_000);
        assertEquals(150, cluster.checker.taskStarts);
    }

    @Test
    void dependenciesAreRefusedWhileVersion01RunsAndOtherJobsAreServed() {
        SimCluster cluster = version01Cluster(8, 9);
        cluster.users.submit(job(1, 2, 1, 5));
        cluster.runUntil(15_000);

        upgrade(cluster, "n0", 1000);
        cluster.runUntil(22_000);
        Job dependant = job(2, 2, 1, 5).withDependencies(List.of(jobId(1)));
        cluster.users.register(dependant);
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        cluster.controllers.get("n0").submit(dependant, answer::set);
        cluster.users.submit(job(3, 2, 1, 5));
        cluster.runUntil(25_000);
        assertEquals(503, answer.get().status());
        assertTrue(answer.get().retryAfterS() > 0);
        assertNull(cluster.store.get(StoreKeys.job(jobId(2))));
        assertNotNull(cluster.store.get(StoreKeys.job(jobId(3))));
        upgradeAll(cluster, 4000);
        cluster.users.submit(dependant);

        assertRecovers(cluster, 60_000);
        assertTrue(cluster.users.isFinished(jobId(2)));
    }

    /**
     * A controller of version 0.1 is down with its lease expired, and restarts as version 0.1. It would start jobs
     * without regard to their dependencies, so no such job may be accepted until every controller has been seen
     * upgraded.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void dependenciesAreRefusedWhileControllerThatIsDownMayRestartAsVersion01(long seed) {
        SimCluster cluster = version01Cluster(seed, 9);
        cluster.controllers.get("n2").crash(25_000);
        upgrade(cluster, "n0", 1000);
        upgrade(cluster, "n1", 1500);
        cluster.runUntil(20_000);
        assertEquals(List.of("n0", "n1"), members(cluster), "the partition map holds no controller of version 0.1");

        cluster.users.submit(job(1, 2, 1, 100));
        cluster.runUntil(22_000);
        Job dependant = job(2, 8, 1, 5).withDependencies(List.of(jobId(1)));
        cluster.users.submit(dependant);
        cluster.runUntil(40_000);
        assertEquals(3, members(cluster).size(), "n2 has rejoined");
        // With the others down it owns all jobs.
        cluster.controllers.get("n0").crash(15_000);
        cluster.controllers.get("n1").crash(15_000);
        cluster.runUntil(65_000);
        assertEquals(List.of(jobId(1)), cluster.users.accepted(), "refused until n2 is upgraded, too");
        upgrade(cluster, "n2", 2000);
        cluster.runUntil(75_000);
        // From now on it may be down: it has been seen as upgraded.
        cluster.controllers.get("n2").crash(30_000);
        cluster.runUntil(90_000);
        cluster.users.submit(dependant);
        cluster.runUntil(95_000);

        assertEquals(List.of(jobId(1), jobId(2)), cluster.users.accepted());
        assertRecovers(cluster, 250_000);
        assertTrue(cluster.users.isFinished(jobId(2)));
    }

    /** A stored value that cannot be read stops no controller; only what depends on it is held. */
    @Test
    void unreadableValueHoldsOnlyWhatDependsOnIt() {
        SimCluster cluster = SimFixtures.cluster(9, 9);
        Job held = job(1, 2, 1, 5);
        cluster.users.register(held);
        cluster.store.put(StoreKeys.job(jobId(1)), new StoredValue.Unreadable("a priority from tomorrow"));
        cluster.users.submit(job(2, 2, 1, 5).withDependencies(List.of(jobId(1))));
        cluster.users.submit(job(3, 2, 1, 5));
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        cluster.after(3000, () -> cluster.controllers.get("n1").poll(jobId(1), answer::set));
        cluster.runUntil(30_000);
        assertEquals(503, answer.get().status());
        assertFinished(cluster, jobId(3));
        assertEquals(2, cluster.checker.taskStarts);

        cluster.store.put(
                StoreKeys.job(jobId(1)),
                new StoredValue.JobRecord(held, List.of(new StoredValue.SliceAssignment("n0", 0, 2)), 0));
        cluster.users.submit(held);

        assertRecovers(cluster, 120_000);
        assertEquals(Map.of(), cluster.store.scan(StoreKeys.JOBS));
    }
}
