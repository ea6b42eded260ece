package dewlane.sim;

import static dewlane.sim.SimFixtures.calm;
import static dewlane.sim.SimFixtures.id;
import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.leader;
import static dewlane.sim.SimFixtures.map;
import static dewlane.sim.SimFixtures.with;
import static dewlane.sim.SimFixtures.world;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Effect.Condition;
import dewlane.core.Job;
import dewlane.core.Keys;
import dewlane.core.Priority;
import dewlane.core.Report;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failures that fall together, continued from {@link StoreOutageTest}: each test asserts that they overlapped while
 * work was under way, with the checker looking at the rules after each step.
 */
class MessageDelayTest {
    private static final long STEP_MS = 7;

    /** Asks about the job at every node several times within milliseconds, and repeats its submission there. */
    private static void askEverywhere(SimCluster world, String job) {
        for (int round = 0; round < 4; round++) {
            for (SimController node : world.nodes.values()) {
                world.after(round * STEP_MS, () -> world.users.pollAt(node, job));
            }
        }
        for (SimController node : world.nodes.values()) {
            world.after(2 * STEP_MS, () -> world.users.repeatAt(node, job));
        }
    }

    /** The watches lag, so that only the read barrier keeps them from an older state. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void usersAskAllNodesWithinMillisecondsOfEachAnswerAndCancelAtOnce(long seed) {
        SimCluster world = world(seed, 6);
        world.state.watchLagMs = 400;
        for (int i = 1; i <= 30; i++) {
            Job job = job(i, Priority.HIGH, 2, 1, 3);
            SimController first = world.nodes.get("n" + i % 3);
            boolean cancelled = i % 3 == 0;
            int other = 1 + i % 2;
            world.after(i * 400L, () -> {
                world.users.know(job);
                first.submit(job, a -> {
                    assertEquals(201, a.status());
                    world.users.repeatAt(first, job.id());
                    askEverywhere(world, job.id());
                    if (cancelled) {
                        world.users.cancelAt(world.nodes.get("n" + other), job.id());
                        world.after(STEP_MS, () -> askEverywhere(world, job.id()));
                    }
                });
            });
            for (int at = 1; at <= 60; at++) {
                world.after(i * 400L + at * 250L, () -> askEverywhere(world, job.id()));
            }
        }
        world.run(40_000);
        long aborted = world.users.accepted().stream()
                .filter(id -> world.checker.lastTold(id) == Condition.ABORTED)
                .count();
        assertTrue(aborted >= 8, aborted + " cancelled");
        assertEquals(30, world.users.accepted().size());
        world.state.watchLagMs = 0;
        calm(world, 60_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsAreCancelledWhileWorkChangesHands(long seed) {
        SimCluster world = world(seed, 9);
        for (int i = 1; i <= 9; i++) {
            world.users.submit(job(i, Priority.HIGH, 4, 1, 40));
        }
        world.run(16_000);
        SimController leaving = leader(world);
        long epoch = map(world).epoch();
        assertTrue(world.checker.starts > 20, "tasks run");
        leaving.crash(6000);
        for (int i = 1; i <= 8; i++) {
            String job = id(i);
            world.after(400L * i, () -> world.users.cancel(job));
        }
        world.run(30_000);
        assertTrue(map(world).epoch() >= epoch + 2, "the part was taken over and given back");
        for (int i = 1; i <= 8; i++) {
            assertEquals(Condition.ABORTED, world.checker.lastTold(id(i)));
        }
        calm(world, 120_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void machinesUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds(long seed) {
        SimCluster world = world(seed, 1);
        world.cloud.fastestBootMs = 500;
        world.cloud.slowestBootMs = 2000;
        world.state.lateWrites = 0.3;
        for (int i = 1; i <= 8; i++) {
            Job job = job(i, Priority.HIGH, 6, 2, 15);
            world.after(600L * i, () -> world.users.submit(job));
        }
        SimController first = leader(world);
        world.after(7000, () -> first.crash(4000));
        world.run(24_000);
        long machines = world.cloud.machines.size();
        assertTrue(machines > 3, machines + " machines");
        assertNotEquals(first, leader(world), "another leads");
        world.run(40_000);
        assertTrue(world.state.lateTried > 5, world.state.lateTried + " writes were carried out late");
        world.state.lateWrites = 0;
        calm(world, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void commandsOfADeposedLeaderArriveAfterItsSuccessors(long seed) {
        SimCluster world = world(seed, 6);
        world.cloud.lateCommands = 0.5;
        for (int i = 1; i <= 12; i++) {
            Job job = job(i, Priority.HIGH, 4, 1, 8);
            world.after(700L * i, () -> world.users.submit(job));
            if (i % 3 == 0) {
                world.after(700L * i + 2500, () -> world.users.cancel(job.id()));
            }
        }
        for (int at = 13_000; at <= 28_000; at += 5000) {
            world.after(at, () -> leader(world).crash(2500));
        }
        world.run(45_000);
        assertTrue(world.cloud.heldUpPastTheirSender > 0, world.cloud.heldUp + " held up, none past its sender");
        world.cloud.lateCommands = 0;
        calm(world, 300_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void fourOneTaskJobsASecondAQuarterOfThemCancelled(long seed) {
        SimCluster world = world(seed, 9);
        int jobs = 480;
        for (int i = 1; i <= jobs; i++) {
            Job job = job(i, Priority.values()[i % 4], 1, 1, 4);
            world.after(250L * i, () -> world.users.submit(job));
            if (i % 4 == 0) {
                world.after(250L * i + world.between(50, 8000), () -> world.users.cancel(job.id()));
            }
        }
        world.after(60_000, () -> leader(world).crash(5000));
        world.run(135_000);
        assertTrue(
                world.users.accepted().size() > jobs * 9 / 10,
                world.users.accepted().size() + " accepted");
        calm(world, 120_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void answersOfTransactionsAreLostWhileOthersReadWhatTheyWrote(long seed) {
        SimCluster world = world(seed, 6);
        world.state.lostAnswers = 0.4;
        for (int i = 1; i <= 16; i++) {
            Job job = job(i, Priority.HIGH, 3, 1, 3);
            world.after(800L * i, () -> world.users.submit(job));
            for (int at = 1; at <= 40; at++) {
                world.after(800L * i + 500L * at, () -> {
                    if (world.users.accepted().contains(job.id())) {
                        askEverywhere(world, job.id());
                    }
                });
            }
            if (i % 4 == 0) {
                world.after(800L * i + 2000, () -> world.users.cancel(job.id()));
            }
        }
        world.run(40_000);
        assertTrue(world.state.answersLost > 15, world.state.answersLost + " answers lost");
        world.state.lostAnswers = 0;
        calm(world, 120_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOldReportReachesEveryControllerAsALeaderBegins(long seed) {
        SimCluster world = world(seed, 6);
        world.users.submit(job(1, Priority.HIGH, 10, 1, 60));
        world.run(16_000);
        List<SimWorker> machines = with(world, id(1));
        assertTrue(machines.size() > 1);
        List<Report> old = new ArrayList<>();
        machines.forEach(m -> old.add(m.report()));
        world.run(24_000);
        int starts = world.checker.starts;
        long epoch = map(world).epoch();
        SimController ended = leader(world);
        ended.crash(60_000);
        for (long wait = 0; map(world).epoch() == epoch && wait < 20_000; wait += 10) {
            world.run(world.now() + 10);
        }
        assertNotEquals(epoch, map(world).epoch(), "another begins");
        for (int i = 0; i < machines.size(); i++) {
            for (SimController node : world.nodes.values()) {
                for (long at : new long[] {1, 300, 1500}) {
                    machines.get(i).copyLate(old.get(i), node, at);
                }
            }
        }
        world.run(world.now() + 15_000);
        assertEquals(starts, world.checker.starts, "no task was begun again");
        calm(world, 200_000);
        assertNotNull(world.state.get(Keys.fin(id(1))));
    }
}
