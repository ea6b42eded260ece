package dewlane.core;

import dewlane.core.Machine.Key;
import dewlane.core.Machine.Live;
import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import dewlane.core.Report.Phase;
import dewlane.core.Report.TaskState;
import dewlane.core.Work.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Speaks to the workers of this controller's part: takes reports, gives orders, and finds proof that an attempt is
 * gone. All orders follow from the replica and the latest report, so a lost or repeated message changes nothing.
 */
final class Attempts {
    /** How long an attempt that the replica does not explain is left alone: the replica may lag. */
    private static final long UNACCOUNTED_MS = 5000;

    private static final int MOST_ORDERS = 400;

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final String self;
    private long epoch;

    Attempts(Context context, Replica replica, Machines machines, Membership membership) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.self = context.settings().node();
    }

    boolean owns(String machine) {
        return membership.joined() && self.equals(Parts.owner(replica.map(), machine));
    }

    long token(Machine m) {
        return m.token(replica.map().epoch());
    }

    /**
     * Takes a report; {@code id} 0 is one that came with the answer to a command.
     *
     * <p>A controller that has not heard from the state service for long may miss a cancellation. It lets its
     * workers' leases run out while there is still time for that before the cancellation must have ended.
     */
    void report(long id, Report r) {
        if (!membership.joined() || membership.superseded() || membership.silence() > trustMs()) {
            refuse(id);
            return;
        }
        machines.refresh();
        String owner = Parts.owner(replica.map(), r.machine());
        if (!self.equals(owner)) {
            if (id != 0 && cannotReach(owner, r)) {
                membership.claim(r.machine());
                refuse(id);
            } else if (id != 0) {
                context.emit(new Effect.RedirectReport(id, owner));
            }
            return;
        }
        Machine m = machines.isGone(r.machine()) ? null : machines.of(r.machine());
        if (m == null || r.token() > token(m) || !r.newerThan(m.session, m.sequence)) {
            refuse(id);
            return;
        }
        take(m, r);
        if (id != 0) {
            List<Order> orders = orders(m, true);
            context.emit(new Effect.AnswerReport(id, token(m), orders));
        }
    }

    /**
     * A worker that turns up here although its owner lives cannot reach that owner: the owner no longer hears it, or it
     * was sent there already and has come back. Without this, a cut between them lasts until its lease has run out.
     */
    private boolean cannotReach(String owner, Report r) {
        Machine m = machines.learn(r.machine(), r.address(), r.type(), r.zone(), r.spot());
        if (m == null || membership.silence() > 2000) {
            return false;
        }
        PeerStatus peer = machines.peer(owner);
        boolean dropped = m.listedBy != null && m.listedBy.equals(machines.start(owner)) && peer != null
                && peer.machines().stream().noneMatch(p -> p.name().equals(m.name));
        long strayed = context.now() - m.strayedAt;
        if (m.strayedAt == 0 || strayed > 20_000) {
            m.strayedAt = context.now();
            return dropped;
        }
        return dropped || strayed > 3500;
    }

    private long trustMs() {
        Settings s = context.settings();
        return (long) (1000 * Math.max(2, s.cancelS() - s.leaseS() - 10));
    }

    private void refuse(long id) {
        if (id != 0) {
            context.emit(new Effect.RefuseReport(id));
        }
    }

    private void take(Machine m, Report r) {
        if (m.heardAt == 0) {
            context.debug("machine " + m.name + " reports: " + r.type() + " " + r.zone() + (r.spot() ? " spot" : ""));
        }
        if (r.session() != m.session) {
            m.forgetCommands();
        }
        m.address = r.address();
        m.type = r.type();
        m.zone = r.zone();
        m.spot = r.spot();
        m.session = r.session();
        m.sequence = r.sequence();
        m.seal = r.token();
        m.heardAt = context.now();
        if (Double.isNaN(r.noticeS())) {
            m.takenAt = 0;
        } else {
            if (m.takenAt == 0) {
                context.info("machine " + m.name + " is to be taken away in " + r.noticeS() + " s");
            }
            m.takenAt = context.now() + (long) (r.noticeS() * 1000);
        }
        Map<Key, TaskState> reported = new HashMap<>();
        for (TaskState t : r.tasks()) {
            reported.put(new Key(t.job(), t.task(), t.attempt()), t);
        }
        m.reported = reported;
        MachineType type = machines.type(m.type);
        for (Live l : m.live) {
            TaskState t = reported.get(l.key());
            Outcome outcome = t == null ? goneBy(l.attempt(), r) : endOf(t);
            if (t != null && t.phase() != Phase.EXITED && type != null && l.job().job() != null) {
                m.fetched(l.job().job().image(), l.job().job().imageGb(), type.cacheGb());
            }
            if (outcome != null && machines.work(l.job().id).outcomes.put(l.key(), outcome) == null) {
                judge(m, l, outcome);
            }
        }
    }

    /**
     * A report that lacks an attempt proves it gone only if it is from a later session than the launch, or if the
     * worker had by then seen a token above the launch's, so that a late copy of the launch is refused.
     */
    private static Outcome goneBy(Attempt a, Report r) {
        if (r.session() > a.session() || (r.session() == a.session() && r.token() > a.token())) {
            return Outcome.GONE;
        }
        return null;
    }

    private static Outcome endOf(TaskState t) {
        if (t.phase() != Phase.EXITED) {
            return null;
        }
        return switch (t.end()) {
            case DONE -> Outcome.DONE;
            case STOPPED -> Outcome.STOPPED;
            case ERROR -> Outcome.ERROR;
            case NO_ROOM, BUSY, UNKNOWN -> Outcome.REFUSED;
        };
    }

    /** Tells faulty machines from faulty jobs: a machine is to blame once tasks of two jobs failed on it in a row. */
    private void judge(Machine m, Live l, Outcome outcome) {
        context.debug(l.job().id + "/" + l.attempt().task() + " #" + l.attempt().number() + " on " + m.name + ": " + outcome);
        if (outcome == Outcome.DONE) {
            m.failedJobs.clear();
        } else if (outcome == Outcome.ERROR) {
            m.failedJobs.add(l.job().id);
            Work work = machines.work(l.job().id);
            work.errors++;
            work.failedOn.add(m.name);
            work.notBefore = context.now() + Math.min(30_000, 250L << Math.min(work.errors, 7));
            context.info("task " + l.job().id + "/" + l.attempt().task() + " failed on " + m.name
                    + " (" + work.errors + " failures of the job, " + m.failedJobs.size() + " jobs on the machine)");
        } else if (outcome == Outcome.REFUSED) {
            machines.work(l.job().id).notBefore = context.now() + 1000;
        }
    }

    /** What the machine should do now. All of it is repeated in every answer until a report shows it done. */
    private List<Order> orders(Machine m, boolean inAnswer) {
        List<Key> forget = new ArrayList<>();
        List<Key> strangers = new ArrayList<>();
        Set<Key> live = new HashSet<>();
        m.live.forEach(l -> live.add(l.key()));
        m.reported.forEach((key, t) -> {
            if (!live.contains(key)) {
                settle(m, key, t, forget, strangers);
            }
        });
        boolean raise = m.unsure && !forget.isEmpty();
        for (Live l : m.live) {
            // A launch that may still be on its way must not arrive after its job's cancellation.
            raise |= ended(l.job()) && !m.reported.containsKey(l.key())
                    && l.attempt().session() == m.session && l.attempt().token() == token(m);
        }
        if (raise) {
            m.raiseFence(replica.map().epoch());
        }
        List<Order> orders = new ArrayList<>();
        for (Live l : m.live) {
            Order order = orderFor(m, l);
            if (order != null && (inAnswer || due(m, l.key()))) {
                orders.add(order);
            }
        }
        for (Key k : strangers) {
            if (!inAnswer && !due(m, k)) {
                continue;
            }
            orders.add(new Order(Order.Kind.STOP, k.job(), k.task(), k.number(), 0));
        }
        for (Key k : forget) {
            orders.add(new Order(Order.Kind.FORGET, k.job(), k.task(), k.number(), 0));
        }
        // The rest follows with the next answer: no answer or command may be longer than 64 KiB.
        return orders.size() > MOST_ORDERS ? orders.subList(0, MOST_ORDERS) : orders;
    }

    private boolean due(Machine m, Key key) {
        return !m.commanded.containsKey(key) || context.now() - m.commanded.getLong(key) > 2000;
    }

    private Order orderFor(Machine m, Live l) {
        TaskState t = m.reported.get(l.key());
        Attempt a = l.attempt();
        if (t == null) {
            // Only the token written with the launch may ever command it, or the proof of gone would not hold.
            boolean mayLaunch = !ended(l.job()) && a.session() == m.session && a.token() == token(m)
                    && !machines.work(l.job().id).outcomes.containsKey(l.key());
            return mayLaunch ? new Order(Order.Kind.LAUNCH, l.job().id, a.task(), a.number(), 0) : null;
        }
        if (t.phase() == Phase.EXITED) {
            return null;
        }
        if (ended(l.job())) {
            return new Order(Order.Kind.STOP, l.job().id, a.task(), a.number(), 0);
        }
        Double grace = m.stops.get(l.key());
        return grace == null || t.phase() == Phase.SAVING ? null
                : new Order(Order.Kind.STOP, l.job().id, a.task(), a.number(), grace);
    }

    private static boolean ended(JobEntry job) {
        return job.job() == null || job.aborted();
    }

    /** An attempt on the machine that the replica does not hold against it. */
    private void settle(Machine m, Key key, TaskState t, List<Key> forget, List<Key> strangers) {
        JobEntry job = replica.job(key.job());
        SliceEntry slice = job == null ? null : job.sliceOf(key.task());
        boolean settled = slice != null ? slice.value().launches() >= key.number() : replica.fin(key.job()) != null;
        if (!settled) {
            m.unaccounted.putIfAbsent(key, context.now());
            settled = context.now() - m.unaccounted.getLong(key) > UNACCOUNTED_MS;
        }
        if (settled && t.phase() == Phase.EXITED) {
            forget.add(key);
        } else if (settled) {
            strangers.add(key);
        }
    }

    /** Sends what is new straight to the workers; the answers to their reports repeat it. */
    void command() {
        if (!membership.joined()) {
            return;
        }
        boolean newEpoch = replica.map().epoch() != epoch;
        epoch = replica.map().epoch();
        for (Machine m : machines.all()) {
            if (!owns(m.name)) {
                m.since = context.now();
                m.heardAt = 0;
                continue;
            }
            if (m.address == null || m.commandInFlight || m.session == 0) {
                continue;
            }
            boolean fenceLate = newEpoch && !m.live.isEmpty();
            if (m.heardAt == 0 && !fenceLate) {
                continue;
            }
            List<Order> orders = m.heardAt == 0 ? List.of() : orders(m, false);
            boolean urgent = orders.stream().anyMatch(o -> o.kind() != Order.Kind.FORGET);
            if (urgent || fenceLate) {
                for (Order o : orders) {
                    m.commanded.put(new Key(o.job(), o.task(), o.attempt()), context.now());
                }
                m.commandInFlight = true;
                context.emit(new Effect.Command(m.name, m.address, m.session, token(m), orders));
            }
        }
    }

    void answered(Input.CommandAnswered in) {
        Machine m = machines.get(in.machine());
        if (m == null) {
            return;
        }
        m.commandInFlight = false;
        if (in.report() != null) {
            report(0, in.report());
        } else if (in.launched() && membership.joined() && in.token() == token(m)) {
            m.unsure = true;
        }
    }
}
