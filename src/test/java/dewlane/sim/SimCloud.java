package dewlane.sim;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.CloudInstance;
import dewlane.core.model.MachineType;
import dewlane.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud: rents and deletes machines and lists them late. */
final class SimCloud {
    private final World world;
    final Map<String, SimWorker> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> requests = new HashMap<>();
    private final List<MachineType> types = List.of(
            new MachineType("small", 4, 0, 16, 20, 1, 0.2, 0.06, 4, List.of("east", "west")),
            new MachineType("large", 8, 0, 32, 20, 1, 0.4, 0.1, 6, List.of("east", "west")));
    private List<CloudInstance> shown = List.of();
    boolean out;
    int room = 12;
    private int nextName = 1;

    SimCloud(World world) {
        this.world = world;
        world.every(1500, () -> {
            List<CloudInstance> now = new ArrayList<>();
            machines.values().forEach(m -> now.add(m.listed()));
            world.after(world.between(1000, 4000), () -> shown = now);
        });
    }

    MachineType type(String name) {
        return types.stream()
                .filter(type -> type.name().equals(name))
                .findFirst()
                .orElseThrow();
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
    private final List<Effect.SendCommands> heldCommands = new ArrayList<>();

    void catalog(SimNode node) {
        if (!out) {
            node.call(() -> true, () -> new Input.MachineTypesListed(types), new Input.Tick(), 5000);
        }
    }

    void list(SimNode node) {
        if (!out) {
            node.call(() -> true, () -> new Input.InstancesListed(shown), new Input.Tick(), 5000);
        }
    }

    void rent(SimNode node, Effect.CreateInstances e) {
        node.call(
                () -> true,
                () -> {
                    if (out) {
                        return new Input.InstancesCreated(e.requestId(), Input.CreateStatus.UNKNOWN, List.of());
                    }
                    List<String> names = requests.get(e.requestId());
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
                            return new Input.InstancesCreated(e.requestId(), Input.CreateStatus.NO_CAPACITY, List.of());
                        }
                        requests.put(e.requestId(), names);
                    }
                    return new Input.InstancesCreated(e.requestId(), Input.CreateStatus.CREATED, names);
                },
                new Input.InstancesCreated(e.requestId(), Input.CreateStatus.UNKNOWN, List.of()),
                5000);
    }

    void delete(SimNode node, List<String> names) {
        node.call(
                () -> true,
                () -> {
                    if (out) {
                        return new Input.InstancesDeleted(names, false);
                    }
                    names.forEach(n -> {
                        SimWorker m = machines.remove(n);
                        if (m != null) {
                            m.vanish();
                        }
                    });
                    return new Input.InstancesDeleted(names, true);
                },
                new Input.InstancesDeleted(names, false),
                5000);
    }

    /** True if a command to the machine that launches the order's attempt is held up on its way. */
    boolean holdsLaunch(String machine, WorkerCommand order) {
        WorkerCommand launch =
                new WorkerCommand(WorkerCommand.Action.LAUNCH, order.job(), order.task(), order.attempt(), 0);
        return heldCommands.stream()
                .anyMatch(c -> c.machine().equals(machine) && c.commands().contains(launch));
    }

    void command(SimNode node, Effect.SendCommands e) {
        SimWorker m = machines.get(e.machine());
        Input silence = new Input.CommandCompleted(e.machine(), e.fencingToken(), true, null);
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
                        node.hear(of, new Input.CommandCompleted(e.machine(), e.fencingToken(), true, m.report()));
                    }
                }),
                () -> m.command(e, sentAt)));
    }
}
