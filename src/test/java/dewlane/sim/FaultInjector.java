package dewlane.sim;

import dewlane.core.Keys;
import java.util.List;

/** Failures of every kind, for the random runs. */
final class FaultInjector {
    private FaultInjector() {}

    /** One trouble, chosen at random, that ends by itself. */
    static void strike(SimCluster cluster) {
        List<SimController> controllers = List.copyOf(cluster.controllers.values());
        SimController controller = controllers.get(cluster.random.nextInt(controllers.size()));
        List<SimWorker> machines = cluster.cloud.machines.values().stream()
                .filter(m -> !m.terminated && m.booted)
                .toList();
        SimWorker machine = machines.isEmpty() ? null : machines.get(cluster.random.nextInt(machines.size()));
        int which = cluster.random.nextInt(42);
        cluster.trace("strike " + which + " " + controller.name + " " + (machine == null ? "" : machine.name));
        switch (which) {
            case 0, 1, 2, 3, 18, 19, 20, 22, 23, 26, 27, 36, 37 ->
                strikeControllers(cluster, which, controller, controllers);
            case 4, 5, 6, 7, 24, 28, 29 -> strikeStateService(cluster, which, controller);
            case 8, 9, 10, 11, 12, 13, 14, 16, 17 -> strikeMachine(cluster, which, controller, machine);
            case 15, 21, 30, 31, 32, 33, 34 -> strikeCloudOrUsers(cluster, which, controllers, machine, machines);
            case 39, 40, 41 -> strikeCommands(cluster, machines);
            default -> strikeSeveral(cluster, which, controller, machines);
        }
    }

    /** Controllers end, stand still or cannot reach each other. */
    private static void strikeControllers(
            SimCluster cluster, int which, SimController controller, List<SimController> controllers) {
        switch (which) {
            case 0, 1 -> crash(cluster, controller, cluster.between(100, 9000));
            case 2 -> controllers.forEach(n -> crash(cluster, n, cluster.between(100, 6000)));
            case 3 -> {
                crash(cluster, controller, 200);
                cluster.after(700, () -> crash(cluster, controller, 300));
            }
            case 18, 19 -> {
                controller.cutFromStore = true;
                controller.cutFromPeers = true;
                cluster.after(cluster.between(5000, 45_000), () -> {
                    controller.cutFromStore = false;
                    controller.cutFromPeers = false;
                });
            }
            case 20 -> {
                // Back at once, and then again in the middle of what the first return set off.
                controllers.forEach(n -> crash(cluster, n, cluster.between(50, 400)));
                cluster.after(
                        cluster.between(500, 1500),
                        () -> controllers.forEach(n -> crash(cluster, n, cluster.between(50, 400))));
            }
            case 22, 23 -> controller.freeze(cluster.between(1500, 40_000));
            case 26, 27 -> {
                controllers.forEach(n -> n.cutFromPeers = true);
                cluster.after(cluster.between(2000, 30_000), () -> controllers.forEach(n -> n.cutFromPeers = false));
            }
            case 36 -> {
                for (int i = 0; i < 8; i++) {
                    cluster.after(
                            i * 4000L, () -> crash(cluster, leader(cluster, controller), cluster.between(200, 5000)));
                }
            }
            case 37 ->
                controllers.forEach(
                        n -> crash(cluster, n, cluster.between(0, 3000) + (long) (cluster.settings.leaseS() * 1000)));
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** The state service is out, slow, refuses one or carries writes out late. */
    private static void strikeStateService(SimCluster cluster, int which, SimController controller) {
        switch (which) {
            case 4 -> cluster.store.outage(cluster.between(1000, 12_000));
            case 5 -> {
                cluster.store.refusedControllers.add(controller.name);
                cluster.after(
                        cluster.between(2000, 25_000), () -> cluster.store.refusedControllers.remove(controller.name));
            }
            case 6 -> {
                controller.cutFromStore = true;
                cluster.after(cluster.between(2000, 25_000), () -> controller.cutFromStore = false);
            }
            case 7 -> {
                controller.cutFromWorkers = true;
                cluster.after(cluster.between(2000, 25_000), () -> controller.cutFromWorkers = false);
            }
            case 24 -> {
                cluster.store.extraLatencyMs = cluster.between(200, 1200);
                cluster.after(cluster.between(5000, 30_000), () -> cluster.store.extraLatencyMs = 0);
            }
            case 28, 29 -> {
                cluster.store.delayedWriteRate = 0.3;
                cluster.after(cluster.between(5000, 25_000), () -> cluster.store.delayedWriteRate = 0);
            }
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** A machine is gone, hangs, is cut off, fails its tasks or does not hear. */
    private static void strikeMachine(SimCluster cluster, int which, SimController controller, SimWorker machine) {
        switch (which) {
            case 8, 9 -> {
                if (machine != null) {
                    cluster.trace("vanish " + machine.name);
                    machine.terminate();
                }
            }
            case 10, 11 -> {
                hang(cluster, machine, cluster.between(2000, 40_000));
            }
            case 12, 13 -> {
                if (machine != null) {
                    machine.disconnected = true;
                    cluster.after(cluster.between(2000, 40_000), () -> machine.disconnected = false);
                }
            }
            case 14 -> {
                if (machine != null) {
                    machine.failsTasks = true;
                    cluster.after(30_000, () -> machine.failsTasks = false);
                }
            }
            case 16, 17 -> {
                if (machine != null) {
                    if (cluster.chance(0.5)) {
                        machine.inboundBlocked = true;
                    } else {
                        machine.inboundBlockedFrom = controller.name;
                    }
                    cluster.after(cluster.between(2000, 60_000), () -> {
                        machine.inboundBlocked = false;
                        machine.inboundBlockedFrom = null;
                    });
                }
            }
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** The cloud is out, old reports arrive, reports do not come, or users cancel. */
    private static void strikeCloudOrUsers(
            SimCluster cluster,
            int which,
            List<SimController> controllers,
            SimWorker machine,
            List<SimWorker> machines) {
        switch (which) {
            case 15 -> {
                cluster.cloud.unavailable = true;
                cluster.after(cluster.between(2000, 15_000), () -> cluster.cloud.unavailable = false);
            }
            case 21 -> {
                if (machine != null) {
                    for (SimController to : controllers) {
                        machine.deliverHeartbeatCopy(machine.nextHeartbeat(), to, cluster.between(500, 80_000));
                    }
                }
            }
            case 30, 31 -> {
                if (machine != null) {
                    machine.outboundBlocked = true;
                    cluster.after(cluster.between(5000, 50_000), () -> machine.outboundBlocked = false);
                }
            }
            case 32, 33 -> {
                // Called off at once, and some of their machines hang.
                for (String id : cluster.users.cancelRunning(3)) {
                    machines.stream()
                            .filter(m -> m.runningTasks(id) > 0)
                            .findAny()
                            .ifPresent(m -> hang(cluster, m, cluster.between(5000, 40_000)));
                }
            }
            case 34 -> {
                cluster.users.cancelOnCompletionRate = 0.5;
                cluster.after(20_000, () -> cluster.users.cancelOnCompletionRate = 0);
            }
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** Commands are held up on their way, and half of the machines fail what they were told to run by other ways. */
    private static void strikeCommands(SimCluster cluster, List<SimWorker> machines) {
        cluster.cloud.delayedCommandRate = 0.8;
        List<SimWorker> failing =
                machines.stream().filter(m -> cluster.chance(0.5)).toList();
        failing.forEach(m -> m.failsTasks = true);
        int ms = cluster.between(5000, 20_000);
        cluster.after(ms, () -> cluster.cloud.delayedCommandRate = 0);
        cluster.after(ms, () -> failing.forEach(m -> m.failsTasks = false));
    }

    /** Half of a zone at once, the gap before an outage, or messages lost everywhere. */
    private static void strikeSeveral(
            SimCluster cluster, int which, SimController controller, List<SimWorker> machines) {
        switch (which) {
            case 25 -> {
                // Half of a zone at once: dead, hanging or cut off, with what was on its way held back.
                String zone = cluster.chance(0.5) ? "east" : "west";
                int how = cluster.random.nextInt(3);
                for (SimWorker m : machines) {
                    if (m.zone.equals(zone) && cluster.chance(0.5)) {
                        switch (how) {
                            case 0 -> m.terminate();
                            case 1 -> hang(cluster, m, cluster.between(5000, 40_000));
                            default -> {
                                m.disconnected = true;
                                cluster.after(cluster.between(5000, 40_000), () -> m.disconnected = false);
                            }
                        }
                    }
                }
            }
            case 35 -> {
                // The gap: one alone is refused, others confirm cancellations, then it is out for all for longer than
                // cancel_s.
                SimController leader = leader(cluster, controller);
                cluster.store.refusedControllers.add(leader.name);
                cluster.after(cluster.between(100, 1500), () -> cluster.users.cancelRunning(3));
                cluster.after(
                        2000,
                        () -> cluster.store.outage(
                                (long) (cluster.settings.cancelS() * 1000) + cluster.between(2000, 12_000)));
                cluster.after(14_000, () -> cluster.store.refusedControllers.remove(leader.name));
            }
            default -> {
                cluster.messageFaultRate = 0.2;
                cluster.after(
                        5000, () -> cluster.messageFaultRate = cluster.now() < RandomFaultsTest.STORM_MS ? 0.02 : 0);
            }
        }
    }

    /**
     * A machine hangs once, for less than a cancellation has: with one that hung for longer, all controllers gone and
     * the state service out, nobody would be left who could know what to end. ControllerIsolationTest and
     * StoreOutageTest have longer ones.
     */
    private static void hang(SimCluster cluster, SimWorker machine, int ms) {
        if (machine != null && machine.frozenUntil == 0) {
            machine.frozenUntil = cluster.now() + ms;
        }
    }

    /** The controller that leads the fleet, or another if there is none. */
    static SimController leader(SimCluster cluster, SimController other) {
        String name = dewlane.core.Partitions.leader((dewlane.core.Value.ClusterMap) cluster.store.get(Keys.MAP));
        return name == null ? other : cluster.controllers.get(name);
    }

    private static void crash(SimCluster cluster, SimController controller, long backAfterMs) {
        if (controller.alive) {
            controller.crash(backAfterMs);
        }
    }
}
