package dewlane.sim;

import static dewlane.sim.SimFixtures.assertFinished;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.clusterRunning;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.partitionMap;
import static dewlane.sim.SimFixtures.runningTasks;
import static dewlane.sim.SimFixtures.workersRunning;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.StoreLimits;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Where pending tasks are placed: in which partition, machine and zone, and by preempting which other tasks. */
class JobDistributionTest {
    private static final long SEED = 5;
    private static final String JOB = jobId(1);

    /**
     * Unmet demand for a small part of a machine must create a machine. It was once rounded down to none, and the job
     * never ran.
     */
    @Test
    void smallestUnmetDemandCreatesMachine() {
        SimCluster cluster = cluster(SEED, 3);
        cluster.users.submit(JobBuilder.job(JOB)
                .types(List.of("large"))
                .spotAllowed(false)
                .expectedRunS(1)
                .build());
        cluster.runUntil(120_000);
        assertFinished(cluster, JOB);
    }

    /**
     * Each transfer of pending tasks to another partition used to split off a slice, until a job had more slices than
     * one transaction may delete and so never completed.
     */
    @Test
    void jobWhoseTasksWereTransferredManyTimesCanStillEnd() {
        SimSettings settings = new SimSettings().storeLimits(StoreLimits.constant(150, 60, 16_384, 8));
        SimCluster cluster = cluster(SEED, 9, settings);
        cluster.cloud.capacity = 9;
        cluster.users.submit(job(1, 600, 1, 5));
        cluster.runUntil(400_000);

        assertFinished(cluster, JOB);
        assertEquals(Map.of(), cluster.store.scan(StoreKeys.SLICES));
    }

    @Test
    void largeJobOfSmallTasksStaysWithinStoreLimits() {
        SimCluster cluster = clusterRunning(SEED, 6, 60_000, job(1, 60_000, 0.01, 4));
        assertTrue(cluster.checker.taskStarts > 1000, cluster.checker.taskStarts + " starts");

        cluster.users.cancel(JOB);
        cluster.runUntil(150_000);

        assertEquals(Map.of(), cluster.store.scan(StoreKeys.SLICES));
    }

    /**
     * Without free capacity anywhere all partitions rank the same. Pending tasks must then be spread evenly; the first
     * partition once got all of them.
     */
    @Test
    void tasksWithoutRoomAnywhereAreSpreadAcrossPartitions() {
        SimCluster cluster = cluster(SEED, 3);
        cluster.cloud.capacity = 3;
        cluster.users.submit(job(1, 12, 1, 300));
        cluster.runUntil(20_000);
        assertEquals(12, cluster.checker.taskStarts, "all machines are full");

        Map<String, Integer> waiting = new HashMap<>();
        for (int i = 2; i < 11; i++) {
            cluster.users.submit(job(i, 10, 1, 300));
            cluster.runFor(1000);
            StoredValue.JobRecord record = (StoredValue.JobRecord) cluster.store.get(StoreKeys.job(jobId(i)));
            record.assignments()
                    .forEach(assignment -> waiting.merge(assignment.owner(), assignment.count(), Integer::sum));
        }

        assertEquals(Map.of("n0", 30, "n1", 30, "n2", 30), waiting);
    }

    /**
     * Pending tasks whose numbers precede those of done tasks of the same slice used to stay in a partition that had no
     * room for them.
     */
    @Test
    void tasksWaitingBeforeDoneOnesFindRoomInAnotherPartition() {
        SimCluster cluster = cluster(SEED, 3);
        SimWorker large = cluster.cloud.create("large", "east", true);
        large.boot();
        cluster.runUntil(15_000);

        String ownerWithRoom = Partitioner.ownerOf(partitionMap(cluster), large.name);
        String ownerWithoutRoom = cluster.controllers.keySet().stream()
                .filter(name -> !name.equals(ownerWithRoom))
                .findFirst()
                .orElseThrow();
        BitSet done = new BitSet();
        done.set(2);
        Job job = JobBuilder.job(JOB)
                .tasks(3)
                .cpus(4)
                .types(List.of("large"))
                .expectedRunS(5)
                .build();
        cluster.users.register(job);
        cluster.checker.onTaskDone(JOB, 2);
        cluster.store.put(StoreKeys.job(JOB), new StoredValue.JobRecord(job.withAcceptedAt(1_000_000), List.of(), 0));
        cluster.store.put(StoreKeys.slice(JOB, 0), new StoredValue.Slice(ownerWithoutRoom, 0, 3, 1, done, List.of()));
        cluster.runUntil(90_000);

        assertFinished(cluster, JOB);
    }

    @Test
    void criticalJobPreemptsIdleOnesOnFullFleetOverSlowLinks() {
        SimCluster cluster = cluster(7, 6);
        cluster.cloud.capacity = 6;
        cluster.extraLinkLatencyMs = 250;
        cluster.store.extraLatencyMs = 700;
        for (int i = 1; i <= 6; i++) {
            cluster.users.submit(job(i, Priority.IDLE, 8, 1, 120));
        }
        cluster.runUntil(40_000);
        assertTrue(cluster.workers().stream().allMatch(worker -> worker.runningTasks() >= 3), "all machines are full");

        cluster.users.submit(JobBuilder.job(jobId(7))
                .priority(Priority.CRITICAL)
                .tasks(8)
                .expectedRunS(5)
                .deadlineS(20)
                .build());
        cluster.runUntil(75_000);

        assertEquals(8, cluster.recentTrace("start " + jobId(7)).lines().count(), "critical tasks started");
        assertTrue(cluster.recentTrace("STOPPED").lines().count() > 0, "idle tasks were preempted");
        assertRecovers(cluster, 900_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsBoundToZonesStartAgainAfterLosingMachines(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.bootMachines(6, "west");
        cluster.cloud.capacity = 12;
        cluster.runUntil(15_000);

        cluster.users.submit(zoneJob(1, 6).sameZone(true).build());
        cluster.users.submit(zoneJob(2, 7).spreadZones(true).build());
        cluster.users.submit(zoneJob(3, 6).zone("west").build());
        cluster.runUntil(25_000);
        for (int i = 1; i <= 3; i++) {
            assertTrue(runningTasks(cluster, jobId(i)) > 0, i + " runs");
            workersRunning(cluster, jobId(i)).get(0).terminate();
        }
        cluster.runUntil(30_000);
        workersRunning(cluster, jobId(2)).get(0).terminate();

        assertRecovers(cluster, 300_000);
        assertTrue(cluster.checker.taskStarts > 19, "lost tasks were restarted");
    }

    private static JobBuilder zoneJob(int number, int tasks) {
        return JobBuilder.job(jobId(number)).tasks(tasks).cpus(2).expectedRunS(30);
    }
}
