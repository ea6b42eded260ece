package dewlane.sim;

/** Faults of the store: it is unavailable or slow, refuses one controller, or executes writes late. */
final class StoreFaults {
    private StoreFaults() {}

    static void outage(FaultTarget target) {
        target.cluster().store.outage(target.cluster().randomBetween(1000, 12_000));
    }

    static void refuseController(FaultTarget target) {
        SimStore store = target.cluster().store;
        String name = target.controller().name;
        store.refusedControllers.add(name);
        target.afterRandomDelay(2000, 25_000, () -> store.refusedControllers.remove(name));
    }

    static void slow(FaultTarget target) {
        SimStore store = target.cluster().store;
        store.extraLatencyMs = target.cluster().randomBetween(200, 1200);
        target.afterRandomDelay(5000, 30_000, () -> store.extraLatencyMs = 0);
    }

    static void delayWrites(FaultTarget target) {
        SimStore store = target.cluster().store;
        store.writes.delayRate = 0.3;
        target.afterRandomDelay(5000, 25_000, () -> store.writes.delayRate = 0);
    }

    /**
     * Makes the store refuse the leader while others confirm cancellations, and then be unavailable to all controllers
     * for longer than the cancellation deadline.
     */
    static void refuseLeaderThenOutage(FaultTarget target) {
        SimCluster cluster = target.cluster();
        String leader = target.leader().name;
        long cancellationDeadlineMs = (long) (cluster.settings.cancellationDeadlineS() * 1000);
        cluster.store.refusedControllers.add(leader);
        target.afterRandomDelay(100, 1500, () -> cluster.users.cancelRunning(3));
        cluster.after(2000, () -> cluster.store.outage(cancellationDeadlineMs + cluster.randomBetween(2000, 12_000)));
        cluster.after(14_000, () -> cluster.store.refusedControllers.remove(leader));
    }
}
