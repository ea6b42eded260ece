package dewlane.sim;

/** Faults of controllers: they crash, freeze, or cannot reach the store, the workers or each other. */
final class ControllerFaults {
    private static final int LEADERS_TO_CRASH = 8;
    private static final long LEADER_CRASH_INTERVAL_MS = 4000;

    private ControllerFaults() {}

    static void crash(FaultTarget target) {
        crash(target.controller(), target.cluster().randomBetween(100, 9000));
    }

    static void crashAll(FaultTarget target) {
        target.forAllControllers(
                controller -> crash(controller, target.cluster().randomBetween(100, 6000)));
    }

    /** Crashes a controller a second time during the recovery from its first crash. */
    static void crashTwice(FaultTarget target) {
        crash(target.controller(), 200);
        target.cluster().after(700, () -> crash(target.controller(), 300));
    }

    /** Crashes all controllers briefly, and again during the recovery from that. */
    static void crashAllTwice(FaultTarget target) {
        crashAllBriefly(target);
        target.afterRandomDelay(500, 1500, () -> crashAllBriefly(target));
    }

    private static void crashAllBriefly(FaultTarget target) {
        target.forAllControllers(
                controller -> crash(controller, target.cluster().randomBetween(50, 400)));
    }

    static void crashLeadersInTurn(FaultTarget target) {
        for (int i = 0; i < LEADERS_TO_CRASH; i++) {
            target.cluster()
                    .after(
                            i * LEADER_CRASH_INTERVAL_MS,
                            () -> crash(target.leader(), target.cluster().randomBetween(200, 5000)));
        }
    }

    static void crashAllForLongerThanLease(FaultTarget target) {
        long leaseMs = (long) (target.cluster().settings.workerLeaseS() * 1000);
        target.forAllControllers(
                controller -> crash(controller, target.cluster().randomBetween(0, 3000) + leaseMs));
    }

    private static void crash(SimController controller, long restartAfterMs) {
        if (controller.alive) {
            controller.crash(restartAfterMs);
        }
    }

    static void freeze(FaultTarget target) {
        target.controller().freeze(target.cluster().randomBetween(1500, 40_000));
    }

    static void isolate(FaultTarget target) {
        target.controller().isolate();
        target.afterRandomDelay(5000, 45_000, () -> target.controller().endIsolation());
    }

    static void disconnectFromStore(FaultTarget target) {
        target.controller().disconnectedFromStore = true;
        target.afterRandomDelay(2000, 25_000, () -> target.controller().disconnectedFromStore = false);
    }

    static void disconnectFromWorkers(FaultTarget target) {
        target.controller().disconnectedFromWorkers = true;
        target.afterRandomDelay(2000, 25_000, () -> target.controller().disconnectedFromWorkers = false);
    }

    /** Disconnects all controllers from each other. */
    static void partitionPeers(FaultTarget target) {
        target.forAllControllers(controller -> controller.disconnectedFromPeers = true);
        target.afterRandomDelay(
                2000, 30_000, () -> target.forAllControllers(controller -> controller.disconnectedFromPeers = false));
    }
}
