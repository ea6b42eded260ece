package dewlane.sim;

import dewlane.core.Keys;
import java.util.List;

/** Failures of every kind, for the random runs. */
final class FaultInjector {
    private FaultInjector() {}

    /** One trouble, chosen at random, that ends by itself. */
    static void strike(SimCluster world) {
        List<SimController> nodes = List.copyOf(world.nodes.values());
        SimController node = nodes.get(world.random.nextInt(nodes.size()));
        List<SimWorker> machines = world.cloud.machines.values().stream()
                .filter(m -> !m.gone && m.up)
                .toList();
        SimWorker machine = machines.isEmpty() ? null : machines.get(world.random.nextInt(machines.size()));
        int which = world.random.nextInt(42);
        world.trace("strike " + which + " " + node.name + " " + (machine == null ? "" : machine.name));
        switch (which) {
            case 0, 1, 2, 3, 18, 19, 20, 22, 23, 26, 27, 36, 37 -> strikeControllers(world, which, node, nodes);
            case 4, 5, 6, 7, 24, 28, 29 -> strikeStateService(world, which, node);
            case 8, 9, 10, 11, 12, 13, 14, 16, 17 -> strikeMachine(world, which, node, machine);
            case 15, 21, 30, 31, 32, 33, 34 -> strikeCloudOrUsers(world, which, nodes, machine, machines);
            case 39, 40, 41 -> strikeCommands(world, machines);
            default -> strikeSeveral(world, which, node, machines);
        }
    }

    /** Controllers end, stand still or cannot reach each other. */
    private static void strikeControllers(SimCluster world, int which, SimController node, List<SimController> nodes) {
        switch (which) {
            case 0, 1 -> crash(world, node, world.between(100, 9000));
            case 2 -> nodes.forEach(n -> crash(world, n, world.between(100, 6000)));
            case 3 -> {
                crash(world, node, 200);
                world.after(700, () -> crash(world, node, 300));
            }
            case 18, 19 -> {
                node.cutFromState = true;
                node.cutFromPeers = true;
                world.after(world.between(5000, 45_000), () -> {
                    node.cutFromState = false;
                    node.cutFromPeers = false;
                });
            }
            case 20 -> {
                // Back at once, and then again in the middle of what the first return set off.
                nodes.forEach(n -> crash(world, n, world.between(50, 400)));
                world.after(
                        world.between(500, 1500), () -> nodes.forEach(n -> crash(world, n, world.between(50, 400))));
            }
            case 22, 23 -> node.freeze(world.between(1500, 40_000));
            case 26, 27 -> {
                nodes.forEach(n -> n.cutFromPeers = true);
                world.after(world.between(2000, 30_000), () -> nodes.forEach(n -> n.cutFromPeers = false));
            }
            case 36 -> {
                for (int i = 0; i < 8; i++) {
                    world.after(i * 4000L, () -> crash(world, leader(world, node), world.between(200, 5000)));
                }
            }
            case 37 ->
                nodes.forEach(n -> crash(world, n, world.between(0, 3000) + (long) (world.settings.leaseS() * 1000)));
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** The state service is out, slow, refuses one or carries writes out late. */
    private static void strikeStateService(SimCluster world, int which, SimController node) {
        switch (which) {
            case 4 -> world.state.outage(world.between(1000, 12_000));
            case 5 -> {
                world.state.refused.add(node.name);
                world.after(world.between(2000, 25_000), () -> world.state.refused.remove(node.name));
            }
            case 6 -> {
                node.cutFromState = true;
                world.after(world.between(2000, 25_000), () -> node.cutFromState = false);
            }
            case 7 -> {
                node.cutFromWorkers = true;
                world.after(world.between(2000, 25_000), () -> node.cutFromWorkers = false);
            }
            case 24 -> {
                world.state.slowMs = world.between(200, 1200);
                world.after(world.between(5000, 30_000), () -> world.state.slowMs = 0);
            }
            case 28, 29 -> {
                world.state.lateWrites = 0.3;
                world.after(world.between(5000, 25_000), () -> world.state.lateWrites = 0);
            }
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** A machine is gone, hangs, is cut off, fails its tasks or does not hear. */
    private static void strikeMachine(SimCluster world, int which, SimController node, SimWorker machine) {
        switch (which) {
            case 8, 9 -> {
                if (machine != null) {
                    world.trace("vanish " + machine.name);
                    machine.vanish();
                }
            }
            case 10, 11 -> {
                hang(world, machine, world.between(2000, 40_000));
            }
            case 12, 13 -> {
                if (machine != null) {
                    machine.cut = true;
                    world.after(world.between(2000, 40_000), () -> machine.cut = false);
                }
            }
            case 14 -> {
                if (machine != null) {
                    machine.sick = true;
                    world.after(30_000, () -> machine.sick = false);
                }
            }
            case 16, 17 -> {
                if (machine != null) {
                    if (world.chance(0.5)) {
                        machine.deaf = true;
                    } else {
                        machine.deafTo = node.name;
                    }
                    world.after(world.between(2000, 60_000), () -> {
                        machine.deaf = false;
                        machine.deafTo = null;
                    });
                }
            }
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** The cloud is out, old reports arrive, reports do not come, or users cancel. */
    private static void strikeCloudOrUsers(
            SimCluster world, int which, List<SimController> nodes, SimWorker machine, List<SimWorker> machines) {
        switch (which) {
            case 15 -> {
                world.cloud.out = true;
                world.after(world.between(2000, 15_000), () -> world.cloud.out = false);
            }
            case 21 -> {
                if (machine != null) {
                    for (SimController to : nodes) {
                        machine.copyLate(machine.report(), to, world.between(500, 80_000));
                    }
                }
            }
            case 30, 31 -> {
                if (machine != null) {
                    machine.mute = true;
                    world.after(world.between(5000, 50_000), () -> machine.mute = false);
                }
            }
            case 32, 33 -> {
                // Called off at once, and some of their machines hang.
                for (String id : world.users.cancelSome(3)) {
                    machines.stream()
                            .filter(m -> m.running(id) > 0)
                            .findAny()
                            .ifPresent(m -> hang(world, m, world.between(5000, 40_000)));
                }
            }
            case 34 -> {
                world.users.cancelAtEnd = 0.5;
                world.after(20_000, () -> world.users.cancelAtEnd = 0);
            }
            default -> throw new IllegalArgumentException("no such trouble: " + which);
        }
    }

    /** Commands are held up on their way, and half of the machines fail what they were told to run by other ways. */
    private static void strikeCommands(SimCluster world, List<SimWorker> machines) {
        world.cloud.lateCommands = 0.8;
        List<SimWorker> failing =
                machines.stream().filter(m -> world.chance(0.5)).toList();
        failing.forEach(m -> m.sick = true);
        int ms = world.between(5000, 20_000);
        world.after(ms, () -> world.cloud.lateCommands = 0);
        world.after(ms, () -> failing.forEach(m -> m.sick = false));
    }

    /** Half of a zone at once, the gap before an outage, or messages lost everywhere. */
    private static void strikeSeveral(SimCluster world, int which, SimController node, List<SimWorker> machines) {
        switch (which) {
            case 25 -> {
                // Half of a zone at once: dead, hanging or cut off, with what was on its way held back.
                String zone = world.chance(0.5) ? "east" : "west";
                int how = world.random.nextInt(3);
                for (SimWorker m : machines) {
                    if (m.zone.equals(zone) && world.chance(0.5)) {
                        switch (how) {
                            case 0 -> m.vanish();
                            case 1 -> hang(world, m, world.between(5000, 40_000));
                            default -> {
                                m.cut = true;
                                world.after(world.between(5000, 40_000), () -> m.cut = false);
                            }
                        }
                    }
                }
            }
            case 35 -> {
                // The gap: one alone is refused, others confirm cancellations, then it is out for all for longer than
                // cancel_s.
                SimController leader = leader(world, node);
                world.state.refused.add(leader.name);
                world.after(world.between(100, 1500), () -> world.users.cancelSome(3));
                world.after(
                        2000,
                        () -> world.state.outage(
                                (long) (world.settings.cancelS() * 1000) + world.between(2000, 12_000)));
                world.after(14_000, () -> world.state.refused.remove(leader.name));
            }
            default -> {
                world.trouble = 0.2;
                world.after(5000, () -> world.trouble = world.now() < RandomFaultsTest.STORM_MS ? 0.02 : 0);
            }
        }
    }

    /**
     * A machine hangs once, for less than a cancellation has: with one that hung for longer, all controllers gone and
     * the state service out, nobody would be left who could know what to end. ControllerIsolationTest and
     * StoreOutageTest have longer ones.
     */
    private static void hang(SimCluster world, SimWorker machine, int ms) {
        if (machine != null && machine.hangsUntil == 0) {
            machine.hangsUntil = world.now() + ms;
        }
    }

    /** The controller that leads the fleet, or another if there is none. */
    static SimController leader(SimCluster world, SimController other) {
        String name = dewlane.core.Partitions.leader((dewlane.core.Value.ClusterMap) world.state.get(Keys.MAP));
        return name == null ? other : world.nodes.get(name);
    }

    private static void crash(SimCluster world, SimController node, long backAfterMs) {
        if (node.alive) {
            node.crash(backAfterMs);
        }
    }
}
