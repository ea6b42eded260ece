package dewlane.sim;

/** Faults of workers and their machines: they are gone, stand still, are cut off, fail tasks or do not hear. */
final class WorkerFaults {
    private WorkerFaults() {}

    static void terminate(FaultTarget target) {
        target.worker().ifPresent(worker -> {
            target.cluster().trace("vanish " + worker.name);
            worker.terminate();
        });
    }

    static void freeze(FaultTarget target) {
        int ms = target.cluster().randomBetween(2000, 40_000);
        target.worker().ifPresent(worker -> freezeOnce(worker, ms));
    }

    /**
     * A machine stands still once, for less than a cancellation may take: with one that did for longer, all controllers
     * gone and the store out, nobody would be left who could know what to end. {@link UnreachableWorkerTest} and
     * {@link StoreOutageTest} have longer ones.
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

    /** Neither replies nor commands reach the worker, of all controllers or of one. */
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

    /** Jobs are cancelled at once, and some of their machines stand still. */
    static void freezeWhileCancelling(FaultTarget target) {
        SimCluster cluster = target.cluster();
        for (String job : cluster.users.cancelRunning(3)) {
            target.runningWorkers().stream()
                    .filter(worker -> worker.runningTasks(job) > 0)
                    .findFirst()
                    .ifPresent(worker -> freezeOnce(worker, cluster.randomBetween(5000, 40_000)));
        }
    }

    /** Half of a zone at once: gone, frozen or disconnected, with what was on its way held back. */
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
