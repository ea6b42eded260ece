package dewlane.sim;

import dewlane.core.Controller;
import dewlane.core.Effect;
import dewlane.core.Input;
import dewlane.core.Order;
import dewlane.core.PeerStatus;
import dewlane.core.Report;
import dewlane.core.StateLimits;
import dewlane.wire.PeerWire;
import dewlane.wire.ValueCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A controller process: the real core, with everything round it made up. */
final class SimController {
    /** A worker's answer: the status, and for 200 the token and orders, for 421 the node to report to. */
    record ReportAnswer(int status, long token, List<Order> orders, String node) {}

    final SimCluster world;
    final String name;
    /** Grows with every start; messages for an earlier life are dropped. */
    int life;

    boolean alive;
    /** Runs under version 0.1's view of what is stored; its logic is the present one. */
    boolean production;

    boolean cutFromState;
    boolean cutFromWorkers;
    boolean cutFromPeers;
    private Controller core;
    private final Map<Long, Consumer<Effect.AnswerUser>> users = new HashMap<>();
    private final Map<Long, Consumer<ReportAnswer>> reports = new HashMap<>();
    private final Deque<Effect> effects = new ArrayDeque<>();
    private boolean acting;
    private long nextId = 1;
    private long frozenUntil;
    /** What came while the process stood still; it finds all of it at once. */
    private final Deque<Input> slept = new ArrayDeque<>();

    SimController(SimCluster world, String name) {
        this.world = world;
        this.name = name;
    }

    void start() {
        life++;
        alive = true;
        users.clear();
        reports.clear();
        effects.clear();
        slept.clear();
        frozenUntil = 0;
        core = new Controller(settingsOf(name), world.random.nextLong(), value -> ValueCodec.bytes(value).length);
        core.logOrders(true);
        ticks(life);
    }

    private dewlane.core.Settings settingsOf(String node) {
        dewlane.core.Settings s = world.settings;
        return new dewlane.core.Settings(
                node,
                s.peers(),
                s.teams(),
                s.objectives(),
                s.zones(),
                s.reportS(),
                s.leaseS(),
                s.cancelS(),
                production ? new StateLimits(s.state().present(), s.state().present()) : s.state(),
                s.cloudRps(),
                s.listLagS(),
                s.tuning());
    }

    private void ticks(int of) {
        if (life == of && alive) {
            if (world.now() >= frozenUntil) {
                hear(of, new Input.Tick());
            }
            world.after(100, () -> ticks(of));
        }
    }

    /** Ends and comes back as the new version. */
    void upgrade(long backAfterMs) {
        crash(backAfterMs);
        production = false;
    }

    void crash(long backAfterMs) {
        world.trace("crash " + name);
        alive = false;
        life++;
        world.after(backAfterMs, this::start);
    }

    /** Stands still while its clocks run on. */
    void freeze(long ms) {
        world.trace("freeze " + name);
        frozenUntil = world.now() + ms;
        int of = life;
        world.after(ms, () -> {
            while (!slept.isEmpty() && life == of && world.now() >= frozenUntil) {
                hear(of, slept.poll());
            }
        });
    }

    /** How many jobs a pass looked at on average. */
    double jobsPerPass() {
        return core.jobsPerPass();
    }

    boolean ready() {
        return alive && core.ready();
    }

    boolean stateReachable() {
        return !cutFromState;
    }

    void hear(int of, Input input) {
        if (!alive || life != of) {
            return;
        }
        if (world.now() < frozenUntil) {
            slept.add(input);
            return;
        }
        Input read = production ? Version01View.read(input) : input;
        effects.addAll(core.handle(world.now(), 1_000_000 + world.now(), read));
        if (acting) {
            return;
        }
        acting = true;
        while (!effects.isEmpty()) {
            act(effects.poll());
        }
        acting = false;
    }

    /** A request and its answer; if either is lost, {@code silence} is heard once the time is up. */
    void call(BooleanSupplier reachable, Supplier<Input> service, Input silence, long timeoutMs) {
        call(reachable, service, silence, timeoutMs, 0);
    }

    /** As above, to the state service, which may be slow. */
    void callState(Supplier<Input> service, Input silence, long timeoutMs) {
        call(this::stateReachable, service, silence, timeoutMs, world.state.slowMs);
    }

    private void call(BooleanSupplier reachable, Supplier<Input> service, Input silence, long timeoutMs, int slowMs) {
        int of = life;
        boolean[] heard = {false};
        world.after(timeoutMs, () -> {
            if (!heard[0]) {
                heard[0] = true;
                hear(of, silence);
            }
        });
        if (!reachable.getAsBoolean()) {
            return;
        }
        world.deliver(() -> {
            Input answer = service.get();
            world.after(slowMs == 0 ? 0 : world.between(slowMs / 3, slowMs), () -> {
                if (reachable.getAsBoolean()) {
                    world.deliver(() -> {
                        if (!heard[0]) {
                            heard[0] = true;
                            hear(of, answer);
                        }
                    });
                }
            });
        });
    }

    void submit(dewlane.core.Job job, Consumer<Effect.AnswerUser> then) {
        ask(id -> new Input.Submit(id, job.id(), job, null), then);
    }

    void submitMalformed(String uid, Consumer<Effect.AnswerUser> then) {
        ask(id -> new Input.Submit(id, uid, null, "a field is missing"), then);
    }

    void poll(String job, Consumer<Effect.AnswerUser> then) {
        ask(id -> new Input.Poll(id, job), then);
    }

    void abort(String job, Consumer<Effect.AnswerUser> then) {
        ask(id -> new Input.Abort(id, job), then);
    }

    private void ask(java.util.function.LongFunction<Input> input, Consumer<Effect.AnswerUser> then) {
        long id = nextId++;
        users.put(id, then);
        hear(life, input.apply(id));
    }

    void report(Report report, Consumer<ReportAnswer> then) {
        long id = nextId++;
        reports.put(id, then);
        hear(life, new Input.ReportReceived(id, report));
    }

    private void answerReport(long id, ReportAnswer answer) {
        Consumer<ReportAnswer> then = reports.remove(id);
        if (then != null) {
            then.accept(answer);
        }
    }

    /** Half of what a peer takes at most, as names and addresses are short here. */
    private void measure(PeerStatus page) {
        try {
            int bytes = PeerWire.status(page).length;
            if (bytes > 32_768) {
                throw new AssertionError(name + " sends its peers " + bytes + " bytes at once");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void act(Effect effect) {
        if (effect instanceof Effect.AnswerUser e) {
            Consumer<Effect.AnswerUser> then = users.remove(e.id());
            if (then != null) {
                then.accept(e);
            }
        } else if (effect instanceof Effect.AnswerReport e) {
            answerReport(e.id(), new ReportAnswer(200, e.token(), e.orders(), null));
        } else if (effect instanceof Effect.RedirectReport e) {
            answerReport(e.id(), new ReportAnswer(421, 0, null, e.node()));
        } else if (effect instanceof Effect.RefuseReport e) {
            answerReport(e.id(), new ReportAnswer(503, 0, null, null));
        } else if (effect instanceof Effect.SendTxn e) {
            world.state.txn(this, e.id(), production ? Version01View.written(e.txn()) : e.txn());
        } else if (effect instanceof Effect.Watch e) {
            world.state.watch(this, e.since());
        } else if (effect instanceof Effect.ReadValue e) {
            world.state.read(this, e.id(), e.key());
        } else if (effect instanceof Effect.ReadRevision) {
            world.state.readRevision(this);
        } else if (effect instanceof Effect.ListState) {
            world.state.list(this);
        } else if (effect instanceof Effect.GrantLease e) {
            world.state.grant(this, e.ttlMs());
        } else if (effect instanceof Effect.TouchLease e) {
            world.state.touch(this, e.lease(), world.settings.tuning().memberTtlMs());
        } else if (effect instanceof Effect.Command e) {
            world.cloud.command(this, e);
        } else if (effect instanceof Effect.ReadCatalog) {
            world.cloud.catalog(this);
        } else if (effect instanceof Effect.ListMachines) {
            world.cloud.list(this);
        } else if (effect instanceof Effect.Rent e) {
            world.cloud.rent(this, e);
        } else if (effect instanceof Effect.Delete e) {
            world.cloud.delete(this, e.machines());
        } else if (effect instanceof Effect.TellPeers e) {
            tellPeers(e.pages());
        } else if (effect instanceof Effect.Log e) {
            world.trace(name + " " + e.text());
        }
    }

    private void tellPeers(List<PeerStatus> pages) {
        pages.forEach(this::measure);
        for (SimController peer : world.nodes.values()) {
            int of = peer.life;
            if (peer != this && !cutFromPeers && !peer.cutFromPeers) {
                pages.forEach(page -> world.deliver(() -> peer.hear(of, new Input.PeerHeard(page))));
            }
        }
    }
}
