package dewlane.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import dewlane.core.Job;
import dewlane.core.JobBuilder;
import dewlane.core.Keys;
import dewlane.core.Priority;
import dewlane.core.Settings;
import dewlane.core.Value.ClusterMap;
import java.util.List;
import java.util.Map;

/** What scenarios share: small worlds, jobs, who is where, and what has to hold once all troubles are over. */
final class SimFixtures {
    static final Map<String, Settings.Team> NO_LIMIT = Map.of("blue", new Settings.Team("blue", 0, 0, 0, 0));

    private SimFixtures() {}

    static SimCluster world(long seed, int machines) {
        return SimCluster.quiet(seed, NO_LIMIT, 16, machines);
    }

    static String id(int number) {
        return String.format("wk-%06d", number);
    }

    static Job job(int number, Priority priority, int tasks, double cpus, double estimateS) {
        return JobBuilder.job(id(number))
                .priority(priority)
                .tasks(tasks)
                .cpus(cpus)
                .estimateS(estimateS)
                .build();
    }

    static SimController leader(SimCluster world) {
        return FaultInjector.leader(world, null);
    }

    static SimController other(SimCluster world, SimController than) {
        return world.nodes.values().stream()
                .filter(n -> n != than && n.alive)
                .findFirst()
                .orElseThrow();
    }

    static ClusterMap map(SimCluster world) {
        return (ClusterMap) world.state.get(Keys.MAP);
    }

    static long running(SimCluster world, String job) {
        return world.cloud.machines.values().stream()
                .mapToLong(m -> m.running(job))
                .sum();
    }

    static List<SimWorker> with(SimCluster world, String job) {
        return world.cloud.machines.values().stream()
                .filter(m -> m.running(job) > 0)
                .toList();
    }

    /** All troubles are over: no job is forgotten or left waiting, and in the end nothing but final states is left. */
    static void calm(SimCluster world, long ms) {
        world.trouble = 0;
        world.users.askAboutAll();
        world.checker.watchWaiting();
        world.run(world.now() + ms);
        for (String id : world.users.accepted()) {
            assertNotNull(world.state.get(Keys.fin(id)), id + " never ended\n" + world.lately(id) + world.describe(id));
        }
        assertEquals(Map.of(), world.state.all(Keys.JOBS));
        assertEquals(Map.of(), world.state.all(Keys.SLICES));
    }
}
