package dewlane.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The cluster and the randomly chosen controller and worker that a fault applies to. */
record FaultTarget(
        SimCluster cluster, SimController controller, Optional<SimWorker> worker, List<SimWorker> runningWorkers) {
    static FaultTarget choose(SimCluster cluster) {
        SimController controller = cluster.randomController();
        List<SimWorker> running = cluster.workers().stream()
                .filter(worker -> !worker.terminated && worker.booted)
                .toList();
        Optional<SimWorker> worker =
                running.isEmpty() ? Optional.empty() : Optional.of(running.get(cluster.random.nextInt(running.size())));
        return new FaultTarget(cluster, controller, worker, running);
    }

    /** Returns the leader, or the chosen controller if there is none. */
    SimController leader() {
        SimController leader = SimFixtures.leader(cluster);
        return leader == null ? controller : leader;
    }

    /** Applies an action to every controller. */
    void forAllControllers(Consumer<SimController> action) {
        cluster.controllers.values().forEach(action);
    }

    /** Schedules an action after a random delay. */
    void afterRandomDelay(int lowMs, int highMs, Runnable action) {
        cluster.after(cluster.randomBetween(lowMs, highMs), action);
    }

    @Override
    public String toString() {
        return controller.name + " " + worker.map(chosen -> chosen.name).orElse("");
    }
}
