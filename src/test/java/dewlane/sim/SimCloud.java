package dewlane.sim;

import dewlane.core.Effect;
import dewlane.core.Input;
import dewlane.core.ListedMachine;
import dewlane.core.MachineType;
import dewlane.core.Order;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud: rents and deletes machines and lists them late. */
final class SimCloud {
    private final SimCluster world;
    final Map<String, SimWorker> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> requests = new HashMap<>();
    private final List<MachineType> types = List.of(
            new MachineType("small", 4, 0, 16, 20, 1, 0.2, 0.06, 4, List.of("east", "west")),
            new MachineType("large", 8, 0, 32, 20, 1, 0.4, 0.1, 6, List.of("east", "west")));
    private List<ListedMachine> shown = List.of();
    boolean out;
    int room = 12;
    private int nextName = 1;

    SimCloud(SimCluster world) {
        this.world = world;
        world.every(1500, () -> {
            List<ListedMachine> now = new ArrayList<>();
            machines.values().forEach(m -> now.add(m.listed()));
            world.after(world.between(1000, 4000), () -> shown = now);
        });
    }

    MachineType type(String name) {
        return types.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
    }

    SimWorker create(String type, String zone, boolean spot) {
        SimWorker m = new SimWorker(world, String.format("vm-%06d", nextName++), type(type), zone, spot);
        machines.put(m.name, m);
        return m;
    }

    /** How long a machine takes to come up. */
    int fastestBootMs = 2000;

    int slowestBootMs = 9000;
    /** The share of direct commands that are held up on their way, for up to 16 s, and carried out unanswered. */
    double lateCommands;
    /** Commands that were held up, and those of them that came after their sender had ended. */
    int heldUp;

    int heldUpPastTheirSender;
    private final List<Effect.Command> heldCommands = new ArrayList<>();

    void catalog(SimController node) {
        if (!out) {
            node.call(() -> true, () -> new Input.CatalogRead(types), new Input.Tick(), 5000);
        }
    }

    void list(SimController node) {
        if (!out) {
            node.call(() -> true, () -> new Input.MachinesListed(shown), new Input.Tick(), 5000);
        }
    }

    void rent(SimController node, Effect.Rent e) {
        node.call(
                () -> true,
                () -> {
                    if (out) {
                        return new Input.Rented(e.request(), Input.RentStatus.UNKNOWN, List.of());
                    }
                    List<String> names = requests.get(e.request());
                    if (names == null) {
                        names = new ArrayList<>();
                        long there =
                                machines.values().stream().filter(m -> !m.gone).count();
                        for (int i = 0; i < e.count() && there + i < room; i++) {
                            SimWorker m = create(e.type(), e.zone(), e.spot());
                            names.add(m.name);
                            if (!world.chance(0.1)) {
                                world.after(world.between(fastestBootMs, slowestBootMs), m::boot);
                            }
                        }
                        if (names.isEmpty()) {
                            return new Input.Rented(e.request(), Input.RentStatus.NO_CAPACITY, List.of());
                        }
                        requests.put(e.request(), names);
                    }
                    return new Input.Rented(e.request(), Input.RentStatus.RENTED, names);
                },
                new Input.Rented(e.request(), Input.RentStatus.UNKNOWN, List.of()),
                5000);
    }

    void delete(SimController node, List<String> names) {
        node.call(
                () -> true,
                () -> {
                    if (out) {
                        return new Input.Deleted(names, false);
                    }
                    names.forEach(n -> {
                        SimWorker m = machines.remove(n);
                        if (m != null) {
                            m.vanish();
                        }
                    });
                    return new Input.Deleted(names, true);
                },
                new Input.Deleted(names, false),
                5000);
    }

    /** True if a command to the machine that launches the order's attempt is held up on its way. */
    boolean holdsLaunch(String machine, Order order) {
        Order launch = new Order(Order.Kind.LAUNCH, order.job(), order.task(), order.attempt(), 0);
        return heldCommands.stream()
                .anyMatch(c -> c.machine().equals(machine) && c.orders().contains(launch));
    }

    void command(SimController node, Effect.Command e) {
        SimWorker m = machines.get(e.machine());
        Input silence = new Input.CommandAnswered(e.machine(), e.token(), true, null);
        if (m == null) {
            world.after(2500, () -> node.hear(node.life, silence));
            return;
        }
        int of = node.life;
        long sentAt = world.now();
        boolean[] heard = {false};
        world.after(2500, () -> {
            if (!heard[0]) {
                heard[0] = true;
                node.hear(of, silence);
            }
        });
        if (node.cutFromWorkers) {
            return;
        }
        if (lateCommands > 0 && world.chance(lateCommands)) {
            heldUp++;
            heldCommands.add(e);
            world.after(world.between(2000, 16_000), () -> {
                heldCommands.remove(e);
                heldUpPastTheirSender += node.life == of ? 0 : 1;
                m.whenAwake(node.name, () -> {}, () -> m.command(e, sentAt));
            });
            return;
        }
        world.deliver(() -> m.whenAwake(
                node.name,
                () -> world.deliver(() -> {
                    if (!heard[0] && !node.cutFromWorkers) {
                        heard[0] = true;
                        node.hear(of, new Input.CommandAnswered(e.machine(), e.token(), true, m.report()));
                    }
                }),
                () -> m.command(e, sentAt)));
    }
}
