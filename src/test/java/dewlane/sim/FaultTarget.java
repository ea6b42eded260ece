package dewlane.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The cluster, with the controller and the worker that a fault may hit. */
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

    /** The controller that leads, or the chosen one if there is none. */
    SimController leader() {
        SimController leader = SimFixtures.leader(cluster);
        return leader == null ? controller : leader;
    }

    /** Runs an action on every controller. */
    void forAllControllers(Consumer<SimController> action) {
        cluster.controllers.values().forEach(action);
    }

    /** Runs an action after a random time. */
    void afterRandomDelay(int lowMs, int highMs, Runnable action) {
        cluster.after(cluster.randomBetween(lowMs, highMs), action);
    }

    @Override
    public String toString() {
        return controller.name + " " + worker.map(chosen -> chosen.name).orElse("");
    }
}
