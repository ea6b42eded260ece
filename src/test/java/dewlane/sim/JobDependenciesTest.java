package dewlane.sim;

import static dewlane.sim.SimFixtures.calm;
import static dewlane.sim.SimFixtures.id;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.running;
import static dewlane.sim.SimFixtures.world;
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
        return job.withAwaits(IntStream.of(awaited).mapToObj(SimFixtures::id).toList());
    }

    private static Job small(int number, int... awaited) {
        return after(job(number, Priority.HIGH, 2, 1, 4), awaited);
    }

    /** Submits a job at a controller and tells the answer. */
    private static Effect.AnswerUser submitAt(SimCluster world, SimController node, Job job) {
        world.users.know(job);
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        node.submit(job, answer::set);
        world.run(world.now() + 3000);
        assertNotNull(answer.get(), job.id() + " got no answer");
        return answer.get();
    }

    private static Condition told(SimCluster world, SimController node, String job) {
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        node.poll(job, answer::set);
        world.run(world.now() + 3000);
        assertNotNull(answer.get(), job + " got no answer");
        return answer.get().state() == null ? null : answer.get().state().condition();
    }

    private static SimController node(SimCluster world, int number) {
        return world.nodes.get("n" + number);
    }

    private static boolean done(SimCluster world, int job) {
        return world.state.get(Keys.fin(id(job))) instanceof Value.FinalRecord result && !result.aborted();
    }

    private static boolean cancelled(SimCluster world, int job) {
        return world.state.get(Keys.fin(id(job))) instanceof Value.FinalRecord result && result.aborted();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void chainsDiamondsAndWideFansRunInTheirOrder(long seed) {
        SimCluster world = world(seed, 9);
        List<Job> jobs = new ArrayList<>(
                List.of(small(1), small(2, 1), small(3, 2), small(4), small(5, 4), small(6, 4), small(7, 5, 6)));
        int[] fan = IntStream.range(100, 140).toArray();
        for (int number : fan) {
            jobs.add(small(number, 7));
        }
        jobs.add(small(200, fan));
        for (int i = 0; i < jobs.size(); i++) {
            Job job = jobs.get(i);
            world.after(i * 150L, () -> world.users.submit(job));
        }
        calm(world, 150_000);
        assertEquals(jobs.size(), world.users.accepted().size());
        assertEquals(2 * jobs.size(), world.checker.starts, "each task ran once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whatIsAwaitedMayBeOfAnotherTeamDoneLongAgoOrCancelled(long seed) {
        Map<String, Settings.Team> teams =
                Map.of("blue", new Settings.Team("blue", 0, 0, 0, 0), "red", new Settings.Team("red", 0, 0, 0, 0));
        SimCluster world = SimCluster.quiet(seed, teams, 16, 9);
        assertEquals(201, submitAt(world, node(world, 0), small(1)).status());
        assertEquals(201, submitAt(world, node(world, 0), small(2)).status());
        world.users.cancelAt(node(world, 1), id(2));
        world.run(40_000);
        assertTrue(done(world, 1) && cancelled(world, 2));
        // No controller that starts anew knows of what is over.
        world.nodes.values().forEach(n -> n.crash(1000));
        world.run(60_000);
        assertEquals(201, submitAt(world, node(world, 2), small(3, 1)).status());
        Effect.AnswerUser late = submitAt(world, node(world, 2), small(4, 1, 2));
        assertEquals(201, late.status());
        assertEquals(Condition.ABORTED, told(world, node(world, 0), id(4)));
        calm(world, 60_000);
        assertTrue(done(world, 3));
    }

    @Test
    void aJobThatWasNeverAcceptedCannotBeAwaited() {
        SimCluster world = world(4, 9);
        assertEquals(422, submitAt(world, node(world, 0), small(2, 1)).status());
        assertEquals(422, submitAt(world, node(world, 0), small(3, 3)).status());
        world.state.outage(8000);
        assertEquals(503, submitAt(world, node(world, 0), small(4, 1)).status());
        world.run(world.now() + 10_000);
        // One that was taken stays known whatever a repeat of it names.
        assertEquals(201, submitAt(world, node(world, 1), small(5)).status());
        world.run(world.now() + 20_000);
        world.nodes.values().forEach(n -> n.crash(500));
        world.run(world.now() + 15_000);
        assertEquals(200, submitAt(world, node(world, 1), small(5, 1)).status());
        assertNull(world.state.get(Keys.job(id(2))));
    }

    /** Any controller may have accepted the awaited job a moment ago, which this one's watch has not shown yet. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void whatAnotherControllerAcceptedAMomentAgoCanBeAwaited(long seed) {
        SimCluster world = world(seed, 9);
        world.state.watchLagMs = 900;
        Job first = job(1, Priority.HIGH, 2, 1, 20);
        world.users.know(first);
        world.users.know(small(2, 1));
        List<Integer> statuses = new ArrayList<>();
        node(world, 0).submit(first, a -> {
            statuses.add(a.status());
            node(world, 1).submit(small(2, 1), b -> statuses.add(b.status()));
        });
        world.run(world.now() + 6000);
        assertEquals(List.of(201, 201), statuses);
        world.state.watchLagMs = 0;
        calm(world, 60_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCancellationPassesDownToAllThatNeedTheJob(long seed) {
        SimCluster world = world(seed, 9);
        List<Job> jobs = List.of(
                job(1, Priority.HIGH, 3, 1, 60), small(2, 1), small(3, 2), small(4), small(5, 3, 4), small(6, 4));
        for (int i = 0; i < jobs.size(); i++) {
            submitAt(world, node(world, i % 3), jobs.get(i));
        }
        world.run(world.now() + 4000);
        assertTrue(running(world, id(1)) > 0);
        world.users.cancelAt(node(world, 1), id(1));
        world.run(world.now() + 1500);
        for (int number : new int[] {1, 2, 3, 5}) {
            for (SimController node : world.nodes.values()) {
                assertEquals(Condition.ABORTED, told(world, node, id(number)), id(number));
            }
        }
        calm(world, 90_000);
        assertTrue(done(world, 4) && done(world, 6));
        assertTrue(cancelled(world, 2) && cancelled(world, 3) && cancelled(world, 5));
    }

    /** The state service is out from just after the confirmation to beyond the time that a cancellation has. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anOutageAfterTheConfirmationDoesNotKeepDependantsAlive(long seed) {
        SimCluster world = world(seed, 9);
        submitAt(world, node(world, 0), job(1, Priority.HIGH, 3, 1, 300));
        for (int i = 2; i < 8; i++) {
            submitAt(world, node(world, i % 3), small(i, i - 1));
        }
        world.run(world.now() + 6000);
        world.users.cancelAt(node(world, 1), id(1));
        world.run(world.now() + 60);
        world.state.outage(75_000);
        world.run(world.now() + 74_000);
        world.nodes.values().forEach(n -> n.crash(300));
        world.run(world.now() + 2000);
        world.every(200, () -> world.nodes.values().stream()
                .filter(n -> n.alive)
                .forEach(n -> world.users.pollAt(n, id(2 + (int) (world.now() / 200 % 6)))));
        calm(world, 60_000);
        for (int i = 2; i < 8; i++) {
            assertTrue(cancelled(world, i), id(i));
        }
    }

    /** A submission races the cancellation of what it awaits; whichever is first, both are told the same in the end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aSubmissionThatRacesTheCancellationIsCancelledToo(long seed) {
        SimCluster world = world(seed, 9);
        submitAt(world, node(world, 0), job(1, Priority.HIGH, 3, 1, 300));
        world.run(world.now() + 3000);
        world.state.watchLagMs = 700;
        world.users.cancelAt(node(world, 1), id(1));
        for (int i = 0; i < 6; i++) {
            Job late = small(10 + i, 1);
            world.after(4L * i, () -> world.users.submit(late));
        }
        world.run(world.now() + 3000);
        world.state.watchLagMs = 0;
        calm(world, 90_000);
        for (int i = 0; i < 6; i++) {
            assertTrue(cancelled(world, 10 + i), id(10 + i));
        }
    }

    /** The owner, or all controllers, end between the last outcome and the start of what it releases. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void controllersThatEndBetweenTheLastOutcomeAndTheReleaseLoseNothing(long seed) {
        SimCluster world = world(seed, 9);
        submitAt(world, node(world, 0), small(1));
        submitAt(world, node(world, 1), small(2, 1));
        submitAt(world, node(world, 2), small(3, 2));
        boolean[] struck = {false};
        world.every(10, () -> {
            if (!struck[0] && done(world, 1)) {
                struck[0] = true;
                Value.ClusterMap map = (Value.ClusterMap) world.state.get(Keys.MAP);
                SimController owner = world.nodes.get(Partitions.owner(map, Keys.job(id(2))));
                if (seed % 2 == 0) {
                    world.nodes.values().forEach(n -> n.crash(world.between(200, 4000)));
                } else {
                    owner.crash(8000);
                }
            }
        });
        calm(world, 120_000);
        assertTrue(struck[0] && done(world, 2) && done(world, 3));
    }

    @Test
    void aDependantOfAJobThatKeepsFailingIsCancelledWithIt() {
        SimCluster world = world(8, 6);
        world.cloud.machines.values().forEach(m -> m.sick = true);
        submitAt(world, node(world, 0), small(1));
        submitAt(world, node(world, 1), small(2, 1));
        world.run(world.now() + 30_000);
        assertEquals(Condition.PENDING, told(world, node(world, 0), id(2)));
        world.cloud.machines.values().forEach(m -> m.sick = false);
        world.users.cancel(id(1));
        calm(world, 90_000);
        assertTrue(cancelled(world, 1) && cancelled(world, 2));
    }

    /**
     * While it waits, a job takes no part of its team's limit and stops nobody; its start is counted from its release.
     */
    @Test
    void aWaitingJobHoldsNothingOfItsTeamsLimitAndStopsNobody() {
        Map<String, Settings.Team> teams = Map.of("blue", new Settings.Team("blue", 12, 0, 12, 0));
        SimCluster world = SimCluster.quiet(9, teams, 16, 3);
        submitAt(world, node(world, 0), job(1, Priority.IDLE, 1, 1, 200));
        for (int i = 2; i < 6; i++) {
            submitAt(world, node(world, i % 3), after(job(i, Priority.CRITICAL, 12, 1, 5), 1));
        }
        submitAt(world, node(world, 1), job(7, Priority.IDLE, 11, 1, 150));
        world.run(world.now() + 10_000);
        assertEquals(11, running(world, id(7)));
        int starts = world.checker.starts;
        world.run(world.now() + 25_000);
        assertEquals(starts, world.checker.starts, "nothing was stopped or started for those that wait");
        calm(world, 700_000);
    }

    /** A job of low priority that urgent work needs goes before other work of its own priority that came first. */
    @Test
    void whatUrgentWorkNeedsIsTreatedAsUrgent() {
        SimCluster world = world(10, 9);
        world.cloud.room = 9;
        submitAt(world, node(world, 0), job(1, Priority.IDLE, 300, 4, 6));
        submitAt(world, node(world, 0), job(2, Priority.IDLE, 1, 4, 6));
        submitAt(world, node(world, 1), after(job(3, Priority.CRITICAL, 1, 4, 2), 2));
        world.run(world.now() + 60_000);
        assertTrue(done(world, 2) && done(world, 3), "the pipeline went first");
        assertTrue(!done(world, 1));
    }

    @Test
    void hundredsOfJobsCanBeAwaited() {
        SimCluster world = world(12, 9);
        int[] first = IntStream.range(100, 400).toArray();
        for (int i = 0; i < first.length; i++) {
            Job job = job(first[i], Priority.HIGH, 1, 1, 1);
            world.after(i * 160L, () -> world.users.submit(job));
        }
        world.run(world.now() + 60_000);
        Effect.AnswerUser answer = submitAt(world, node(world, 2), small(500, first));
        assertEquals(201, answer.status());
        calm(world, 120_000);
        assertTrue(done(world, 500));
    }
}
