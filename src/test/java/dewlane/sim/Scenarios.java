package dewlane.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import dewlane.core.config.Settings;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.PartitionMap;
import java.util.List;
import java.util.Map;

/** What scenarios share: small worlds, jobs, who is where, and what has to hold once all troubles are over. */
final class Scenarios {
    static final Map<String, Settings.TeamQuota> NO_LIMIT = Map.of("blue", new Settings.TeamQuota("blue", 0, 0, 0, 0));

    private Scenarios() {}

    static World world(long seed, int machines) {
        return World.quiet(seed, NO_LIMIT, 16, machines);
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

    static SimNode leader(World world) {
        return Troubles.leader(world, null);
    }

    static SimNode other(World world, SimNode than) {
        return world.nodes.values().stream()
                .filter(n -> n != than && n.alive)
                .findFirst()
                .orElseThrow();
    }

    static PartitionMap map(World world) {
        return (PartitionMap) world.state.get(StoreKeys.PARTITION_MAP);
    }

    static long running(World world, String job) {
        return world.cloud.machines.values().stream()
                .mapToLong(m -> m.running(job))
                .sum();
    }

    static List<SimWorker> with(World world, String job) {
        return world.cloud.machines.values().stream()
                .filter(m -> m.running(job) > 0)
                .toList();
    }

    /** All troubles are over: no job is forgotten or left waiting, and in the end nothing but final states is left. */
    static void calm(World world, long ms) {
        world.trouble = 0;
        world.users.askAboutAll();
        world.checker.watchWaiting();
        world.run(world.now() + ms);
        for (String id : world.users.accepted()) {
            assertNotNull(
                    world.state.get(StoreKeys.jobResult(id)),
                    id + " never ended\n" + world.lately(id) + world.describe(id));
        }
        assertEquals(Map.of(), world.state.all(StoreKeys.JOBS));
        assertEquals(Map.of(), world.state.all(StoreKeys.SLICES));
    }
}
