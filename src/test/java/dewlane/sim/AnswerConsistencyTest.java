package dewlane.sim;

import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobs;
import static dewlane.sim.SimFixtures.submitInTurn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Users poll several controllers for a job within milliseconds of its state changes. All answers must agree on one
 * final state; {@link AnswerChecker} fails the run if a later answer contradicts the first final one.
 */
class AnswerConsistencyTest {
    private static final long STEP_MS = 7;

    /** Polls every controller for the job several times within milliseconds, and repeats its submission there. */
    private static void pollEverywhere(SimCluster cluster, String job) {
        for (int round = 0; round < 4; round++) {
            for (SimController controller : cluster.controllers.values()) {
                cluster.after(round * STEP_MS, () -> cluster.users.pollThrough(controller, job));
            }
        }
        for (SimController controller : cluster.controllers.values()) {
            cluster.after(2 * STEP_MS, () -> cluster.users.resubmitThrough(controller, job));
        }
    }

    /**
     * The watches lag, so that only the read barrier (reading the store's revision before answering) prevents answers
     * from an older state.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void pollsAtAllControllersWithLaggingWatchesReturnNoEarlierState(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.store.watchLagMs = 400;
        for (int i = 1; i <= 30; i++) {
            int number = i;
            Job job = job(i, 2, 1, 3);
            cluster.after(i * 400L, () -> submitThenPollAndCancelEachThird(cluster, job, number));
            for (int round = 1; round <= 60; round++) {
                cluster.after(i * 400L + round * 250L, () -> pollEverywhere(cluster, job.id()));
            }
        }
        cluster.runUntil(40_000);

        long aborted = cluster.users.accepted().stream()
                .filter(id -> cluster.checker.lastReportedCondition(id) == JobCondition.CANCELLED)
                .count();
        assertTrue(aborted >= 8, aborted + " cancelled");
        assertEquals(30, cluster.users.accepted().size());
        cluster.store.watchLagMs = 0;

        assertRecovers(cluster, 60_000);
    }

    private static void submitThenPollAndCancelEachThird(SimCluster cluster, Job job, int number) {
        SimController first = cluster.controllers.get("n" + number % 3);
        SimController other = cluster.controllers.get("n" + (1 + number % 2));
        cluster.users.register(job);
        first.submit(job, answer -> {
            assertEquals(201, answer.status());
            cluster.users.resubmitThrough(first, job.id());
            pollEverywhere(cluster, job.id());
            if (number % 3 == 0) {
                cluster.users.cancelThrough(other, job.id());
                cluster.after(STEP_MS, () -> pollEverywhere(cluster, job.id()));
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void pollsOfJobsWhoseTransactionRepliesAreLostReturnNoEarlierState(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.store.writes.lostReplyRate = 0.4;
        for (int i = 1; i <= 16; i++) {
            Job job = job(i, 3, 1, 3);
            cluster.after(800L * i, () -> cluster.users.submit(job));
            for (int round = 1; round <= 40; round++) {
                cluster.after(800L * i + 500L * round, () -> {
                    if (cluster.users.accepted().contains(job.id())) {
                        pollEverywhere(cluster, job.id());
                    }
                });
            }
            if (i % 4 == 0) {
                cluster.after(800L * i + 2000, () -> cluster.users.cancel(job.id()));
            }
        }
        cluster.runUntil(40_000);
        assertTrue(cluster.store.writes.lostReplies > 15, cluster.store.writes.lostReplies + " replies lost");

        cluster.store.writes.lostReplyRate = 0;

        assertRecovers(cluster, 120_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancellationsAndResubmissionsAtEndOfLastTaskLeadToOneFinalState(long seed) {
        SimCluster cluster = cluster(seed, 6);
        cluster.users.cancelOnCompletionRate = 0.7;
        cluster.every(250, () -> pollAndResubmitCompletedJobs(cluster));
        submitInTurn(cluster, 800, 800, jobs(1, 30, i -> job(i, 1 + i % 3, 1, 2)));
        assertRecovers(cluster, 100_000);
        long cancelled = cluster.store.scan(StoreKeys.JOB_RESULTS).values().stream()
                .filter(result -> ((StoredValue.JobResult) result).cancelled())
                .count();

        assertTrue(
                cancelled > 0 && cancelled < 30,
                cancelled + " of 30 jobs were cancelled before their completion was recorded");
    }

    private static void pollAndResubmitCompletedJobs(SimCluster cluster) {
        for (String job : cluster.users.accepted()) {
            if (cluster.checker.allTasksDone(job) && cluster.now() < 60_000) {
                SimController controller = cluster.randomController();
                cluster.users.pollThrough(controller, job);
                cluster.users.resubmitThrough(controller, job);
            }
        }
    }
}
