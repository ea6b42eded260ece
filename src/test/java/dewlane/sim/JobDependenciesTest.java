package dewlane.sim;

import static dewlane.sim.SimFixtures.assertRecovers;
import static dewlane.sim.SimFixtures.cluster;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static dewlane.sim.SimFixtures.runningTasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Effect;
import dewlane.core.Effect.Condition;
import dewlane.core.Job;
import dewlane.core.Keys;
import dewlane.core.Partitions;
import dewlane.core.Priority;
import dewlane.core.Settings;
import dewlane.core.Value;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Jobs that await others, with the checker looking at the rules after each step. */
class JobDependenciesTest {
    private static Job after(Job job, int... awaited) {
        return job.withAwaits(IntStream.of(awaited).mapToObj(SimFixtures::jobId).toList());
    }

    private static Job small(int number, int... awaited) {
        return after(job(number, Priority.HIGH, 2, 1, 4), awaited);
    }

    /** Submits a job at a controller and tells the answer. */
    private static Effect.AnswerUser submitAt(SimCluster cluster, SimController controller, Job job) {
        cluster.users.register(job);
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        controller.submit(job, answer::set);
        cluster.runFor(3000);
        assertNotNull(answer.get(), job.id() + " got no answer");
        return answer.get();
    }

    private static Condition told(SimCluster cluster, SimController controller, String job) {
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        controller.poll(job, answer::set);
        cluster.runFor(3000);
        assertNotNull(answer.get(), job + " got no answer");
        return answer.get().state() == null ? null : answer.get().state().condition();
    }

    private static SimController node(SimCluster cluster, int number) {
        return cluster.controllers.get("n" + number);
    }

    private static boolean done(SimCluster cluster, int job) {
        return cluster.store.get(Keys.fin(jobId(job))) instanceof Value.FinalRecord result && !result.aborted();
    }

    private static boolean cancelled(SimCluster cluster, int job) {
        return cluster.store.get(Keys.fin(jobId(job))) instanceof Value.FinalRecord result && result.aborted();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void chainsDiamondsAndWideFansRunInTheirOrder(long seed) {
        SimCluster cluster = cluster(seed, 9);
        List<Job> jobs = new ArrayList<>(
                List.of(small(1), small(2, 1), small(3, 2), small(4), small(5, 4), small(6, 4), small(7, 5, 6)));
        int[] fan = IntStream.range(100, 140).toArray();
        for (int number : fan) {
            jobs.add(small(number, 7));
        }
        jobs.add(small(200, fan));
        for (int i = 0; i < jobs.size(); i++) {
            Job job = jobs.get(i);
            cluster.after(i * 150L, () -> cluster.users.submit(job));
        }
        assertRecovers(cluster, 150_000);
        assertEquals(jobs.size(), cluster.users.accepted().size());
        assertEquals(2 * jobs.size(), cluster.checker.taskStarts, "each task ran once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whatIsAwaitedMayBeOfAnotherTeamDoneLongAgoOrCancelled(long seed) {
        Map<String, Settings.Team> teams =
                Map.of("blue", new Settings.Team("blue", 0, 0, 0, 0), "red", new Settings.Team("red", 0, 0, 0, 0));
        SimCluster cluster = SimCluster.quiet(seed, teams, 16, 9);
        assertEquals(201, submitAt(cluster, node(cluster, 0), small(1)).status());
        assertEquals(201, submitAt(cluster, node(cluster, 0), small(2)).status());
        cluster.users.cancelThrough(node(cluster, 1), jobId(2));
        cluster.runUntil(40_000);
        assertTrue(done(cluster, 1) && cancelled(cluster, 2));
        // No controller that starts anew knows of what is over.
        cluster.controllers.values().forEach(n -> n.crash(1000));
        cluster.runUntil(60_000);
        assertEquals(201, submitAt(cluster, node(cluster, 2), small(3, 1)).status());
        Effect.AnswerUser late = submitAt(cluster, node(cluster, 2), small(4, 1, 2));
        assertEquals(201, late.status());
        assertEquals(Condition.ABORTED, told(cluster, node(cluster, 0), jobId(4)));
        assertRecovers(cluster, 60_000);
        assertTrue(done(cluster, 3));
    }

    @Test
    void aJobThatWasNeverAcceptedCannotBeAwaited() {
        SimCluster cluster = cluster(4, 9);
        assertEquals(422, submitAt(cluster, node(cluster, 0), small(2, 1)).status());
        assertEquals(422, submitAt(cluster, node(cluster, 0), small(3, 3)).status());
        cluster.store.outage(8000);
        assertEquals(503, submitAt(cluster, node(cluster, 0), small(4, 1)).status());
        cluster.runFor(10_000);
        // One that was taken stays known whatever a repeat of it names.
        assertEquals(201, submitAt(cluster, node(cluster, 1), small(5)).status());
        cluster.runFor(20_000);
        cluster.controllers.values().forEach(n -> n.crash(500));
        cluster.runFor(15_000);
        assertEquals(200, submitAt(cluster, node(cluster, 1), small(5, 1)).status());
        assertNull(cluster.store.get(Keys.job(jobId(2))));
    }

    /** Any controller may have accepted the awaited job a moment ago, which this one's watch has not shown yet. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void whatAnotherControllerAcceptedAMomentAgoCanBeAwaited(long seed) {
        SimCluster cluster = cluster(seed, 9);
        cluster.store.watchLagMs = 900;
        Job first = job(1, Priority.HIGH, 2, 1, 20);
        cluster.users.register(first);
        cluster.users.register(small(2, 1));
        List<Integer> statuses = new ArrayList<>();
        node(cluster, 0).submit(first, a -> {
            statuses.add(a.status());
            node(cluster, 1).submit(small(2, 1), b -> statuses.add(b.status()));
        });
        cluster.runFor(6000);
        assertEquals(List.of(201, 201), statuses);
        cluster.store.watchLagMs = 0;
        assertRecovers(cluster, 60_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCancellationPassesDownToAllThatNeedTheJob(long seed) {
        SimCluster cluster = cluster(seed, 9);
        List<Job> jobs = List.of(
                job(1, Priority.HIGH, 3, 1, 60), small(2, 1), small(3, 2), small(4), small(5, 3, 4), small(6, 4));
        for (int i = 0; i < jobs.size(); i++) {
            submitAt(cluster, node(cluster, i % 3), jobs.get(i));
        }
        cluster.runFor(4000);
        assertTrue(runningTasks(cluster, jobId(1)) > 0);
        cluster.users.cancelThrough(node(cluster, 1), jobId(1));
        cluster.runFor(1500);
        for (int number : new int[] {1, 2, 3, 5}) {
            for (SimController controller : cluster.controllers.values()) {
                assertEquals(Condition.ABORTED, told(cluster, controller, jobId(number)), jobId(number));
            }
        }
        assertRecovers(cluster, 90_000);
        assertTrue(done(cluster, 4) && done(cluster, 6));
        assertTrue(cancelled(cluster, 2) && cancelled(cluster, 3) && cancelled(cluster, 5));
    }

    /** The state service is out from just after the confirmation to beyond the time that a cancellation has. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anOutageAfterTheConfirmationDoesNotKeepDependantsAlive(long seed) {
        SimCluster cluster = cluster(seed, 9);
        submitAt(cluster, node(cluster, 0), job(1, Priority.HIGH, 3, 1, 300));
        for (int i = 2; i < 8; i++) {
            submitAt(cluster, node(cluster, i % 3), small(i, i - 1));
        }
        cluster.runFor(6000);
        cluster.users.cancelThrough(node(cluster, 1), jobId(1));
        cluster.runFor(60);
        cluster.store.outage(75_000);
        cluster.runFor(74_000);
        cluster.controllers.values().forEach(n -> n.crash(300));
        cluster.runFor(2000);
        cluster.every(200, () -> cluster.controllers.values().stream()
                .filter(n -> n.alive)
                .forEach(n -> cluster.users.pollThrough(n, jobId(2 + (int) (cluster.now() / 200 % 6)))));
        assertRecovers(cluster, 60_000);
        for (int i = 2; i < 8; i++) {
            assertTrue(cancelled(cluster, i), jobId(i));
        }
    }

    /** A submission races the cancellation of what it awaits; whichever is first, both are told the same in the end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aSubmissionThatRacesTheCancellationIsCancelledToo(long seed) {
        SimCluster cluster = cluster(seed, 9);
        submitAt(cluster, node(cluster, 0), job(1, Priority.HIGH, 3, 1, 300));
        cluster.runFor(3000);
        cluster.store.watchLagMs = 700;
        cluster.users.cancelThrough(node(cluster, 1), jobId(1));
        for (int i = 0; i < 6; i++) {
            Job late = small(10 + i, 1);
            cluster.after(4L * i, () -> cluster.users.submit(late));
        }
        cluster.runFor(3000);
        cluster.store.watchLagMs = 0;
        assertRecovers(cluster, 90_000);
        for (int i = 0; i < 6; i++) {
            assertTrue(cancelled(cluster, 10 + i), jobId(10 + i));
        }
    }

    /** The owner, or all controllers, end between the last outcome and the start of what it releases. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void controllersThatEndBetweenTheLastOutcomeAndTheReleaseLoseNothing(long seed) {
        SimCluster cluster = cluster(seed, 9);
        submitAt(cluster, node(cluster, 0), small(1));
        submitAt(cluster, node(cluster, 1), small(2, 1));
        submitAt(cluster, node(cluster, 2), small(3, 2));
        boolean[] struck = {false};
        cluster.every(10, () -> {
            if (!struck[0] && done(cluster, 1)) {
                struck[0] = true;
                Value.ClusterMap map = (Value.ClusterMap) cluster.store.get(Keys.MAP);
                SimController owner = cluster.controllers.get(Partitions.owner(map, Keys.job(jobId(2))));
                if (seed % 2 == 0) {
                    cluster.controllers.values().forEach(n -> n.crash(cluster.between(200, 4000)));
                } else {
                    owner.crash(8000);
                }
            }
        });
        assertRecovers(cluster, 120_000);
        assertTrue(struck[0] && done(cluster, 2) && done(cluster, 3));
    }

    @Test
    void aDependantOfAJobThatKeepsFailingIsCancelledWithIt() {
        SimCluster cluster = cluster(8, 6);
        cluster.cloud.machines.values().forEach(m -> m.failsTasks = true);
        submitAt(cluster, node(cluster, 0), small(1));
        submitAt(cluster, node(cluster, 1), small(2, 1));
        cluster.runFor(30_000);
        assertEquals(Condition.PENDING, told(cluster, node(cluster, 0), jobId(2)));
        cluster.cloud.machines.values().forEach(m -> m.failsTasks = false);
        cluster.users.cancel(jobId(1));
        assertRecovers(cluster, 90_000);
        assertTrue(cancelled(cluster, 1) && cancelled(cluster, 2));
    }

    /**
     * While it waits, a job takes no part of its team's limit and stops nobody; its start is counted from its release.
     */
    @Test
    void aWaitingJobHoldsNothingOfItsTeamsLimitAndStopsNobody() {
        Map<String, Settings.Team> teams = Map.of("blue", new Settings.Team("blue", 12, 0, 12, 0));
        SimCluster cluster = SimCluster.quiet(9, teams, 16, 3);
        submitAt(cluster, node(cluster, 0), job(1, Priority.IDLE, 1, 1, 200));
        for (int i = 2; i < 6; i++) {
            submitAt(cluster, node(cluster, i % 3), after(job(i, Priority.CRITICAL, 12, 1, 5), 1));
        }
        submitAt(cluster, node(cluster, 1), job(7, Priority.IDLE, 11, 1, 150));
        cluster.runFor(10_000);
        assertEquals(11, runningTasks(cluster, jobId(7)));
        int starts = cluster.checker.taskStarts;
        cluster.runFor(25_000);
        assertEquals(starts, cluster.checker.taskStarts, "nothing was stopped or started for those that wait");
        assertRecovers(cluster, 700_000);
    }

    /** A job of low priority that urgent work needs goes before other work of its own priority that came first. */
    @Test
    void whatUrgentWorkNeedsIsTreatedAsUrgent() {
        SimCluster cluster = cluster(10, 9);
        cluster.cloud.capacity = 9;
        submitAt(cluster, node(cluster, 0), job(1, Priority.IDLE, 300, 4, 6));
        submitAt(cluster, node(cluster, 0), job(2, Priority.IDLE, 1, 4, 6));
        submitAt(cluster, node(cluster, 1), after(job(3, Priority.CRITICAL, 1, 4, 2), 2));
        cluster.runFor(60_000);
        assertTrue(done(cluster, 2) && done(cluster, 3), "the pipeline went first");
        assertTrue(!done(cluster, 1));
    }

    @Test
    void hundredsOfJobsCanBeAwaited() {
        SimCluster cluster = cluster(12, 9);
        int[] first = IntStream.range(100, 400).toArray();
        for (int i = 0; i < first.length; i++) {
            Job job = job(first[i], Priority.HIGH, 1, 1, 1);
            cluster.after(i * 160L, () -> cluster.users.submit(job));
        }
        cluster.runFor(60_000);
        Effect.AnswerUser answer = submitAt(cluster, node(cluster, 2), small(500, first));
        assertEquals(201, answer.status());
        assertRecovers(cluster, 120_000);
        assertTrue(done(cluster, 500));
    }
}
