package dewlane.sim;

import static dewlane.sim.SimFixtures.assertFinished;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.clusterRunning;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.partitionMap;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue;
import org.junit.jupiter.api.Test;

/**
 * Regression tests for what a controller's crash and restart cost: accepted jobs, running tasks, fencing tokens and
 * changes of the partition map.
 */
class ControllerRestartTest {
    private static final long SEED = 5;
    private static final String JOB = jobId(1);
    /** A fencing token holds the epoch of the partition map in the bits from this one upward. */
    private static final int TOKEN_EPOCH_SHIFT = 20;

    @Test
    void jobAcceptedJustBeforeAllControllersCrashStillRuns() {
        SimCluster cluster = cluster(SEED, 3);
        Job job = job(1, 4, 1, 2);
        boolean[] accepted = {false};
        cluster.controllers.get("n2").submit(job, answer -> {
            accepted[0] = answer.status() == 201;
            cluster.crashAllControllers(4000);
        });
        cluster.users.register(job);
        cluster.runUntil(60_000);

        assertTrue(accepted[0]);
        assertFinished(cluster, JOB);
    }

    @Test
    void controllersThatRestartAtOnceLoseNoTask() {
        SimCluster cluster = clusterRunning(SEED, 9, 25_000, job(1, 18, 2, 60));

        cluster.crashAllControllers(200);
        cluster.runUntil(25_900);
        cluster.crashAllControllers(150);
        cluster.runUntil(27_000);
        cluster.controllers.get("n2").crash(100);
        cluster.runUntil(200_000);

        assertEquals(18, cluster.checker.taskStarts);
        assertEquals(9, cluster.workers().size());
        assertFinished(cluster, JOB);
    }

    /**
     * A change of the partition map must not change the fencing tokens of machines that keep their owner. When it did,
     * each crash in a large cluster invalidated every launch in flight.
     */
    @Test
    void machinesThatKeepTheirOwnerKeepTheirFencingToken() {
        SimCluster cluster = clusterRunning(SEED, 9, 10_150, job(1, 18, 2, 30));

        cluster.controllers.get("n2").crash(20_000);
        cluster.runUntil(200_000);
        StoredValue.PartitionMap map = partitionMap(cluster);

        assertTrue(map.epoch() >= 5, "n2 was evicted and rejoined");
        assertTrue(
                cluster.workers().stream()
                        .anyMatch(worker -> worker.fencingToken() >> TOKEN_EPOCH_SHIFT < map.epoch() - 1),
                "some machines kept their fencing token");
        assertFinished(cluster, JOB);
    }

    /**
     * Workers of a crashed controller move to others one by one. When each move changed the partition map, every change
     * invalidated launches in flight; a crash and a restart may change the map only once each.
     */
    @Test
    void controllerRestartChangesPartitionMapTwice() {
        SimCluster cluster = clusterRunning(SEED, 30, 25_000, job(1, 60, 2, 60));

        long epochBefore = partitionMap(cluster).epoch();
        cluster.controllers.get("n1").crash(8000);
        cluster.runUntil(60_000);

        assertEquals(epochBefore + 2, partitionMap(cluster).epoch());
        assertEquals(60, cluster.checker.taskStarts);
    }
}
