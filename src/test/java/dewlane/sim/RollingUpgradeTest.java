package dewlane.sim;

import static dewlane.sim.SimFixtures.calm;
import static dewlane.sim.SimFixtures.id;
import static dewlane.sim.SimFixtures.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Effect;
import dewlane.core.Job;
import dewlane.core.Keys;
import dewlane.core.Priority;
import dewlane.core.Settings;
import dewlane.core.StateLimits;
import dewlane.core.Value;
import dewlane.wire.ValueCodec;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One version replaces another while both serve, and the state service's limits shrink under what is stored. */
class RollingUpgradeTest {
    private static final StateLimits.Limits NOW = new StateLimits.Limits(150, 60, 16_384, 16);

    /** Three controllers of the version before, with machines that have settled. */
    private static SimCluster world(long seed, StateLimits.Limits next, int machines) {
        Settings settings = new Settings(
                "none",
                List.of("n0", "n1", "n2"),
                SimFixtures.NO_LIMIT,
                List.of(),
                List.of("east", "west"),
                3,
                30,
                60,
                new StateLimits(NOW, next),
                10,
                3,
                new Settings.Tuning(3000, 12, 300, 4, 256));
        SimCluster world = new SimCluster(seed, settings, SimCluster.DisabledGuard.NONE);
        world.trouble = 0;
        world.cloud.room = machines;
        for (String name : settings.peers()) {
            SimController node = new SimController(world, name);
            node.production = true;
            world.nodes.put(name, node);
            node.start();
        }
        for (int i = 0; i < machines; i++) {
            world.cloud.create("small", "east", true).boot();
        }
        world.run(10_000);
        return world;
    }

    private static void upgradeAll(SimCluster world, long everyMs) {
        long at = 0;
        for (SimController node : world.nodes.values()) {
            world.after(at, () -> node.upgrade(2000));
            at += everyMs;
        }
        world.run(world.now() + at + 5000);
    }

    private static int largestSlice(SimCluster world) {
        return world.state.all(Keys.SLICES).values().stream()
                .mapToInt(v -> ValueCodec.bytes(v).length)
                .max()
                .orElse(0);
    }

    /** Limits under which a stored slice is cut at once, and ones under which it is cut by later slices. */
    @ParameterizedTest
    @CsvSource({"1, 2048, 5", "2, 2048, 5", "3, 1024, 5", "4, 1024, 3", "5, 1024, 2", "6, 1200, 16"})
    void whatWasStoredUnderLargerLimitsIsBroughtWithinTheSmallerOnes(long seed, int valueBytes, int txnOps) {
        SimCluster world = world(seed, new StateLimits.Limits(150, 40, valueBytes, txnOps), 420);
        world.users.submit(job(1, Priority.HIGH, 300, 4, 150));
        world.users.submit(job(2, Priority.HIGH, 900, 1, 3));
        world.run(25_000);
        assertTrue(largestSlice(world) > valueBytes, largestSlice(world) + " bytes are the most that is stored");
        upgradeAll(world, 3000);
        world.state.limits.shrink();
        world.run(world.now() + 60_000);
        // Another controller goes on where one that was cutting ended.
        world.nodes.get("n1").crash(4000);
        calm(world, 400_000);
        assertEquals(1200, world.checker.starts, "every task ran once");
        assertEquals(0, world.state.limits.exceeded, "nothing larger than the new limits was sent after they came");
    }

    /** The shrinking may come while a controller that is down has not shown yet which version it is. */
    @Test
    void aControllerThatStaysDownDoesNotKeepLargeValuesFromBeingCut() {
        SimCluster world = world(7, new StateLimits.Limits(150, 40, 1024, 3), 150);
        world.users.submit(job(1, Priority.HIGH, 150, 4, 150));
        world.run(25_000);
        assertTrue(largestSlice(world) > 1024);
        world.nodes.get("n2").crash(900_000);
        world.nodes.get("n0").upgrade(2000);
        world.nodes.get("n1").upgrade(3000);
        world.run(world.now() + 10_000);
        world.state.limits.shrink();
        calm(world, 500_000);
        assertEquals(150, world.checker.starts);
    }

    @Test
    void whatIsNewIsRefusedWhileAnOlderVersionRunsAndTheRestIsServed() {
        SimCluster world = world(8, NOW, 9);
        world.users.submit(job(1, Priority.HIGH, 2, 1, 5));
        world.run(15_000);
        world.nodes.get("n0").upgrade(1000);
        world.run(22_000);
        Job waiting = job(2, Priority.HIGH, 2, 1, 5).withAwaits(List.of(id(1)));
        world.users.know(waiting);
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        world.nodes.get("n0").submit(waiting, answer::set);
        world.users.submit(job(3, Priority.HIGH, 2, 1, 5));
        world.run(25_000);
        assertEquals(503, answer.get().status());
        assertTrue(answer.get().retryAfterS() > 0);
        assertNull(world.state.get(Keys.job(id(2))));
        assertNotNull(world.state.get(Keys.job(id(3))));
        upgradeAll(world, 4000);
        world.users.submit(waiting);
        calm(world, 60_000);
        assertTrue(world.users.isOver(id(2)));
    }

    /**
     * A controller of the version before is down, its lease has ended, and it comes back as it was: it would start what
     * awaits other jobs.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void whatIsNewIsRefusedWhileAControllerThatIsDownMayComeBackAsItWas(long seed) {
        SimCluster world = world(seed, NOW, 9);
        world.nodes.get("n2").crash(25_000);
        world.nodes.get("n0").upgrade(1000);
        world.nodes.get("n1").upgrade(1500);
        world.run(20_000);
        assertEquals(List.of("n0", "n1"), members(world), "the map knows no controller of the version before");
        world.users.submit(job(1, Priority.HIGH, 2, 1, 100));
        world.run(22_000);
        Job waiting = job(2, Priority.HIGH, 8, 1, 5).withAwaits(List.of(id(1)));
        world.users.submit(waiting);
        world.run(40_000);
        assertEquals(3, members(world).size(), "it is back");
        // With the others away it has all the work.
        world.nodes.get("n0").crash(15_000);
        world.nodes.get("n1").crash(15_000);
        world.run(65_000);
        assertEquals(List.of(id(1)), world.users.accepted(), "what is new is refused until it is upgraded, too");
        world.nodes.get("n2").upgrade(2000);
        world.run(75_000);
        // From now on it may be down: it has shown what it knows.
        world.nodes.get("n2").crash(30_000);
        world.run(90_000);
        world.users.submit(waiting);
        world.run(95_000);
        assertEquals(List.of(id(1), id(2)), world.users.accepted());
        calm(world, 250_000);
        assertTrue(world.users.isOver(id(2)));
    }

    private static List<String> members(SimCluster world) {
        return SimFixtures.map(world).members().stream().map(Value.Member::name).toList();
    }

    /** A value that cannot be read stops nobody; what depends on it is held. */
    @Test
    void aValueThatCannotBeReadHoldsOnlyWhatDependsOnIt() {
        SimCluster world = SimFixtures.world(9, 9);
        Job held = job(1, Priority.HIGH, 2, 1, 5);
        world.users.know(held);
        world.state.put(Keys.job(id(1)), new Value.Unreadable("a priority from tomorrow"));
        world.users.submit(job(2, Priority.HIGH, 2, 1, 5).withAwaits(List.of(id(1))));
        world.users.submit(job(3, Priority.HIGH, 2, 1, 5));
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        world.after(3000, () -> world.nodes.get("n1").poll(id(1), answer::set));
        world.run(30_000);
        assertEquals(503, answer.get().status());
        assertNotNull(world.state.get(Keys.fin(id(3))));
        assertEquals(2, world.checker.starts);
        world.state.put(Keys.job(id(1)), new Value.JobRecord(held, List.of(new Value.Deal("n0", 0, 2)), 0));
        world.users.submit(held);
        calm(world, 120_000);
        assertEquals(Map.of(), world.state.all(Keys.JOBS));
    }
}
