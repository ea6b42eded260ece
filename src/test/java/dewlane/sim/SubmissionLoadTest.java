package dewlane.sim;

import static dewlane.sim.SimFixtures.assertFinished;
import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobs;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.submitInTurn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Small jobs are submitted as fast as the store accepts writes, or faster. */
class SubmissionLoadTest {
    private static final long SEED = 5;
    private static final int FIRST_JOB = 500_000;

    /**
     * One-task jobs are submitted faster than they can be written. Refused submissions were retried without end, and
     * each poll caused a read of the store. This used up the rate limits for requests and writes, so that the
     * controllers lost their leases and accepted jobs did not run.
     */
    @Test
    void moreJobsThanCanBeWrittenDoNotStopAcceptedOnes() {
        SimCluster cluster = cluster(SEED, 9);
        int submitted = 3000;
        submitInTurn(cluster, 0, 20, jobs(FIRST_JOB, FIRST_JOB + submitted - 1, i -> job(i, 1, 1, 1)));
        for (int i = 0; i < 12_000; i++) {
            cluster.after(5L * i, cluster.users::pollRandomJob);
        }
        StoredValue map = cluster.store.get(StoreKeys.PARTITION_MAP);
        cluster.runUntil(70_000);

        int done = cluster.store.scan(StoreKeys.JOB_RESULTS).size();
        assertTrue(done >= 300, done + " of " + submitted + " jobs were done while others were submitted");
        assertEquals(map, cluster.store.get(StoreKeys.PARTITION_MAP), "no controller lost its lease");
        assertTrue(
                cluster.store.usage.throttledRequests < cluster.store.usage.requests / 10,
                cluster.store.usage.throttledRequests + " of " + cluster.store.usage.requests + " requests refused");
        cluster.runUntil(400_000);
        cluster.users.accepted().forEach(id -> assertFinished(cluster, id));
    }

    /**
     * During a long outage the transactions of user requests were retried again and again. Each attempt was charged to
     * the token bucket of writes, so that nothing was launched for ten minutes after the outage.
     */
    @Test
    void requestsDuringStoreOutageDoNotHoldUpLaunchesAfterIt() {
        SimCluster cluster = cluster(SEED, 9);
        submitInTurn(cluster, 0, 150, jobs(FIRST_JOB, FIRST_JOB + 399, i -> job(i, 1, 1, 1)));
        cluster.runUntil(12_000);

        int before = cluster.checker.taskStarts;
        assertTrue(before > 0);
        cluster.store.outage(70_000);
        cluster.runUntil(82_000);
        assertTrue(cluster.checker.taskStarts < before + 30, "the outage stopped launches");
        cluster.runUntil(102_000);

        assertTrue(
                cluster.checker.taskStarts > before + 60,
                cluster.checker.taskStarts + " started in all, " + before + " of them before the outage");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void fourOneTaskJobsPerSecondWithQuarterCancelledAreAccepted(long seed) {
        SimCluster cluster = cluster(seed, 9);
        int submitted = 480;
        for (int i = 1; i <= submitted; i++) {
            Job job = job(i, Priority.values()[i % 4], 1, 1, 4);
            cluster.after(250L * i, () -> cluster.users.submit(job));
            if (i % 4 == 0) {
                cluster.after(250L * i + cluster.randomBetween(50, 8000), () -> cluster.users.cancel(job.id()));
            }
        }
        cluster.after(60_000, () -> leader(cluster).crash(5000));
        cluster.runUntil(135_000);

        int accepted = cluster.users.accepted().size();

        assertTrue(accepted > submitted * 9 / 10, accepted + " accepted");
        assertRecovers(cluster, 120_000);
    }
}
