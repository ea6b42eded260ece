package dewlane.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Job;
import dewlane.core.JobBuilder;
import dewlane.core.Keys;
import dewlane.core.Settings;
import dewlane.core.StateLimits;
import dewlane.core.Value;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Sixteen hundred machines, seven controllers and arrays of hundreds of tasks: what is counted must not grow with them.
 */
class LargeClusterTest {
    private static final int CONTROLLERS = 7;
    private static final int MACHINES = 1600;
    private static final int JOBS = 120;
    private static final long ARRIVE_MS = 1000;

    private static SimCluster world(double idleS) {
        return world(idleS, MACHINES);
    }

    private static SimCluster world(double idleS, int machines) {
        List<String> names =
                IntStream.range(0, CONTROLLERS).mapToObj(i -> "n" + i).toList();
        Settings settings = new Settings(
                "none",
                names,
                Map.of("blue", new Settings.Team("blue", 600, 0, 3000, 0)),
                List.of(),
                List.of("east", "west"),
                5,
                29,
                59,
                StateLimits.constant(150, 30, 32_768, 16),
                4,
                4,
                new Settings.Tuning(3000, 12, idleS, 4, 256));
        SimCluster world = new SimCluster(11, settings, SimCluster.DisabledGuard.NONE);
        world.trouble = 0;
        world.cloud.room = machines;
        for (String name : names) {
            SimController node = new SimController(world, name);
            world.nodes.put(name, node);
            node.start();
        }
        for (int i = 0; i < machines; i++) {
            SimWorker m = world.cloud.create(i % 3 == 0 ? "small" : "large", i % 2 == 0 ? "east" : "west", i % 2 == 0);
            world.after(world.between(0, 5000), m::boot);
        }
        return world;
    }

    private static Job job(int i, int tasks) {
        return JobBuilder.job(String.format("wk-%06d", i))
                .tasks(tasks)
                .cpus(2)
                .memoryGb(4)
                .image("image-" + i % 10)
                .estimateS(9)
                .deadlineS(60)
                .build();
    }

    @Test
    void manyMachinesAndArraysOfHundredsOfTasksCostFewChanges() {
        SimCluster world = world(60);
        world.run(15_000);
        long before = world.state.changes;
        int tasks = 0;
        for (int i = 0; i < JOBS; i++) {
            int n = i == 60 ? 500 : 60 + 7 * (i % 11);
            tasks += n;
            Job job = job(i, n);
            world.after(i * ARRIVE_MS, () -> world.users.submit(job));
        }
        world.run(15_000 + JOBS * ARRIVE_MS + 60_000);
        double perJob = (double) (world.state.changes - before) / JOBS;
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("wk-%06d", i);
            assertTrue(world.state.get(Keys.fin(id)) != null, id + " never ended\n" + world.lately(id));
        }
        assertTrue(world.checker.starts < tasks * 1.05, world.checker.starts + " starts for " + tasks + " tasks");
        assertTrue(perJob <= 20, perJob + " changes a job");
        assertTrue(world.state.longestValue <= 32_768 / 2, "a value of " + world.state.longestValue + " bytes");
        assertTrue(world.state.longestTxn <= 65_536 / 2, "a transaction of " + world.state.longestTxn + " bytes");
        for (SimController node : world.nodes.values()) {
            assertTrue(node.jobsPerPass() < 40, node.name + " looks at " + node.jobsPerPass() + " jobs a pass");
        }
    }

    /** Found by counting: what a controller alone with all machines told its peers was longer than they take. */
    @Test
    void aControllerAloneWithAllMachinesLosesNoneAndTellsItsPeersInPages() {
        SimCluster world = world(600);
        world.run(15_000);
        world.nodes.values().stream().skip(1).forEach(n -> n.crash(20_000));
        for (int i = 0; i < 30; i++) {
            Job job = job(i, 60);
            world.after(i * ARRIVE_MS, () -> world.users.submit(job));
        }
        world.run(120_000);
        for (int i = 0; i < 30; i++) {
            assertTrue(world.state.get(Keys.fin(job(i, 60).id())) != null, i + " never ended");
        }
        assertEquals(MACHINES, world.cloud.machines.size(), "no machine was deleted for its silence");
        long maps = ((Value.ClusterMap) world.state.get(Keys.MAP)).epoch();
        assertTrue(maps <= 3 * CONTROLLERS, maps + " maps for one crash of all but one");
    }

    /** The same at 4,000 machines: none is lost, work runs, and what is counted a job stays as it is. */
    @Test
    void fourThousandMachinesAreServedAlsoByOneControllerAlone() {
        int machines = 4000;
        SimCluster world = world(900, machines);
        world.run(15_000);
        long before = world.state.changes;
        for (int i = 0; i < JOBS; i++) {
            Job job = job(i, 60 + 7 * (i % 11));
            world.after(i * ARRIVE_MS, () -> world.users.submit(job));
        }
        world.run(90_000);
        world.nodes.values().stream().skip(1).forEach(n -> n.crash(20_000));
        world.run(15_000 + JOBS * ARRIVE_MS + 60_000);
        for (int i = 0; i < JOBS; i++) {
            assertTrue(world.state.get(Keys.fin(job(i, 60).id())) != null, i + " never ended");
        }
        double perJob = (double) (world.state.changes - before) / JOBS;
        assertTrue(perJob <= 20, perJob + " changes a job");
        assertEquals(machines, world.cloud.machines.size(), "no machine was deleted for its silence");
        assertTrue(world.state.longestValue <= 32_768 / 2, "a value of " + world.state.longestValue + " bytes");
    }

    /** Counted on a day: each machine that went back cost three changes, and at most four a second did. */
    @Test
    void idleMachinesGoBackTogether() {
        SimCluster world = world(30);
        world.run(110_000);
        assertEquals(0, world.cloud.machines.size());
        assertTrue(
                world.state.machineChanges < 200,
                world.state.machineChanges + " changes for " + MACHINES + " machines");
    }
}
