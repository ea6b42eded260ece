package dewlane.sim;

/**
 * Faults of workers and their machines: they are terminated or frozen, lose messages in one or both directions, or fail
 * their tasks.
 */
final class WorkerFaults {
    private WorkerFaults() {}

    static void terminate(FaultTarget target) {
        target.worker().ifPresent(worker -> {
            target.cluster().trace("terminate " + worker.name);
            worker.terminate();
        });
    }

    static void freeze(FaultTarget target) {
        int ms = target.cluster().randomBetween(2000, 40_000);
        target.worker().ifPresent(worker -> freezeOnce(worker, ms));
    }

    /**
     * Freezes a machine, at most once and for less than the cancellation deadline. If a machine were frozen for longer
     * while all controllers are down and the store is unavailable, nothing could stop its cancelled tasks in time.
     * {@link UnreachableWorkerTest} and {@link StoreOutageTest} test longer freezes.
     */
    private static void freezeOnce(SimWorker worker, int ms) {
        if (worker.frozenUntil == 0) {
            worker.frozenUntil = worker.cluster.now() + ms;
        }
    }

    static void disconnect(FaultTarget target) {
        target.worker().ifPresent(worker -> disconnect(target, worker, 2000));
    }

    private static void disconnect(FaultTarget target, SimWorker worker, int minMs) {
        worker.disconnected = true;
        target.afterRandomDelay(minMs, 40_000, () -> worker.disconnected = false);
    }

    static void failTasks(FaultTarget target) {
        target.worker().ifPresent(worker -> {
            worker.failsTasks = true;
            target.cluster().after(30_000, () -> worker.failsTasks = false);
        });
    }

    /** Blocks replies and commands to a worker, from all controllers or from one. */
    static void blockInbound(FaultTarget target) {
        target.worker().ifPresent(worker -> {
            if (target.cluster().chance(0.5)) {
                worker.inboundBlocked = true;
            } else {
                worker.inboundBlockedFrom = target.controller().name;
            }
            target.afterRandomDelay(2000, 60_000, () -> {
                worker.inboundBlocked = false;
                worker.inboundBlockedFrom = null;
            });
        });
    }

    static void blockOutbound(FaultTarget target) {
        target.worker().ifPresent(worker -> {
            worker.outboundBlocked = true;
            target.afterRandomDelay(5000, 50_000, () -> worker.outboundBlocked = false);
        });
    }

    static void deliverOldHeartbeats(FaultTarget target) {
        target.worker()
                .ifPresent(worker -> target.forAllControllers(controller -> worker.heartbeats.deliverDuplicate(
                        worker.nextHeartbeat(), controller, target.cluster().randomBetween(500, 80_000))));
    }

    /** Cancels several jobs and freezes some of the machines that run them. */
    static void freezeWhileCancelling(FaultTarget target) {
        SimCluster cluster = target.cluster();
        for (String job : cluster.users.cancelRunning(3)) {
            target.runningWorkers().stream()
                    .filter(worker -> worker.runningTasks(job) > 0)
                    .findFirst()
                    .ifPresent(worker -> freezeOnce(worker, cluster.randomBetween(5000, 40_000)));
        }
    }

    /**
     * Terminates, freezes or disconnects about half of the machines of a zone at once; commands to frozen or
     * disconnected machines arrive afterwards.
     */
    static void loseHalfOfZone(FaultTarget target) {
        SimCluster cluster = target.cluster();
        String zone = cluster.chance(0.5) ? "east" : "west";
        int faultKind = cluster.random.nextInt(3);
        for (SimWorker worker : target.runningWorkers()) {
            if (worker.zone.equals(zone) && cluster.chance(0.5)) {
                switch (faultKind) {
                    case 0 -> worker.terminate();
                    case 1 -> freezeOnce(worker, cluster.randomBetween(5000, 40_000));
                    default -> disconnect(target, worker, 5000);
                }
            }
        }
    }
}
