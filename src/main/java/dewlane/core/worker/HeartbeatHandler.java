package dewlane.core.worker;

import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.Machine.AssignedAttempt;
import dewlane.core.fleet.Machine.AttemptId;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.MachineType;
import dewlane.core.model.WorkerCommand;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.store.StoreReplica;
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
public final class HeartbeatHandler {
    /** A worker that cannot reach its owner comes round again within this time. */
    private static final long STRAY_MS = 30_000;

    /** It must have come here for longer than this, and for longer still if its owner says that it hears it. */
    private static final long LEAST_STRAY_MS = 500;

    private static final long LISTED_STRAY_MS = 3500;
    private static final long OWNER_HEARD_MS = 4000;
    private static final long SETTLE_MS = 10_000;
    /** How often a suspected machine is asked for a sign that it hears. */
    private static final long PROBE_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final PeerTable peers;
    private final Membership membership;
    private final SchedulingCycle placement;
    private final AuthorityMonitor standing;
    private final ControllerCounters counters;
    private final String self;
    private final CommandPlanner planner;
    private final CommandLog orderLog;

    public HeartbeatHandler(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            PeerTable peers,
            Membership membership,
            SchedulingCycle placement,
            CancellationTracker cancellations,
            AuthorityMonitor standing,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.peers = peers;
        this.membership = membership;
        this.placement = placement;
        this.standing = standing;
        this.counters = counters;
        this.self = context.settings().node();
        this.orderLog = new CommandLog(context, replica);
        this.planner = new CommandPlanner(context, replica, machines, cancellations, standing, counters, orderLog);
    }

    /**
     * Takes a report; {@code id} 0 is one that came with the answer to a command.
     *
     * <p>A controller whose view is stale may miss a cancellation. It lets its workers' leases run out while there is
     * still time for that: see {@link Authority} and {@link CancellationTracker}.
     */
    public void report(long id, Heartbeat r) {
        counters.reports++;
        if (!standing.now().mayAnswerWorkers()) {
            counters.reportsRefused++;
            refuse(id);
            return;
        }
        if (machines.isGone(r.machine())) {
            refuse(id);
            return;
        }
        Machine m = machines.of(r.machine());
        if (!self.equals(m.owner)) {
            if (id != 0 && cannotReachOwner(m, r)) {
                membership.claim(m.name);
                refuse(id);
            } else if (id != 0) {
                context.emit(new Effect.RedirectHeartbeat(id, m.owner));
            }
            return;
        }
        // Copies come late: one that is no newer than what was taken says nothing, whatever it says.
        if (r.token() > m.token() || !r.newerThan(m.session, m.sequence)) {
            refuse(id);
            return;
        }
        take(m, r, id == 0);
        if (id != 0) {
            m.reachability.reported(context.now());
            m.channel.answerSettled();
            List<WorkerCommand> orders = planner.orders(m, true);
            m.channel.answerSent(launches(orders));
            orderLog.answered(m, orders);
            context.emit(new Effect.AnswerHeartbeat(id, m.token(), orders));
        }
    }

    /**
     * A worker that turns up here although its owner lives cannot reach that owner: it was sent there already and has
     * come back. Without this, a cut between them lasts until its lease has run out. The second report must be newer
     * than the first and than what the owner has: late copies of old reports move no machine.
     */
    private boolean cannotReachOwner(Machine m, Heartbeat r) {
        machines.learn(r.machine(), r.address(), r.type(), r.zone(), r.spot());
        if (!membership.reachesState() || m.address == null || !r.newerThan(m.session, m.sequence)) {
            return false;
        }
        // Workers of one that died wander until the map says who has them, and those of one that has just come have yet
        // to get there. Each take-over is a new map, which undoes every launch under way.
        if (!peers.heard(m.owner, OWNER_HEARD_MS) || context.now() - m.ownerSince < SETTLE_MS) {
            m.strayReports.forget();
            return false;
        }
        long strayedMs = m.strayReports.take(r, context.now(), STRAY_MS);
        return strayedMs > (machines.listedByOwner(m) ? LISTED_STRAY_MS : LEAST_STRAY_MS);
    }

    private static Set<AttemptId> launches(List<WorkerCommand> orders) {
        Set<AttemptId> launches = new HashSet<>();
        for (WorkerCommand o : orders) {
            if (o.kind() == WorkerCommand.Action.LAUNCH) {
                launches.add(new AttemptId(o.job(), o.task(), o.attempt()));
            }
        }
        return launches;
    }

    private void refuse(long id) {
        if (id != 0) {
            context.emit(new Effect.RejectHeartbeat(id));
        }
    }

    private void take(Machine m, Heartbeat r, boolean answer) {
        if (m.tokenSeen == 0 && m.sequence == 0) {
            context.debug("machine " + m.name + " reports: " + r.type() + " " + r.zone() + (r.spot() ? " spot" : ""));
        }
        if (r.session() != m.session) {
            m.forgetCommands();
            m.channel.sessionBegan();
        }
        m.address = r.address();
        m.isOf(r.type(), r.zone(), r.spot());
        m.session = r.session();
        m.sequence = r.sequence();
        m.tokenSeen = r.token();
        Map<AttemptId, TaskStatus> reported = new HashMap<>();
        for (TaskStatus t : r.tasks()) {
            reported.put(new AttemptId(t.job(), t.task(), t.attempt()), t);
        }
        m.reported = reported;
        hear(m, r, answer);
        MachineType type = machines.type(m);
        for (AssignedAttempt l : m.live.values()) {
            TaskStatus t = reported.get(l.key);
            Outcome outcome = t == null ? goneBy(l.attempt, r) : endOf(t);
            if (t != null && t.phase() != Phase.EXITED && type != null && l.job.job() != null) {
                m.fetched(l.job.job().image(), l.job.job().imageGb(), type.cacheGb());
            }
            if (outcome != null && placement.record(machines.progress().of(l.job.id), l, outcome)) {
                machines.over(m, l);
                judge(m, l, outcome);
            }
        }
        machines.touch(m);
    }

    /**
     * Decides what the report says about whether the machine hears this controller. The answer to a command shows it. A
     * report shows it as long as they come in time and each shows what the answer to the last one gave; else the
     * machine is suspected, gets no further tasks, and is asked.
     */
    private void hear(Machine m, Heartbeat r, boolean answer) {
        long now = context.now();
        boolean missed = m.channel.answerToken() > r.token();
        for (AttemptId k : m.channel.answerLaunches()) {
            AssignedAttempt l = m.live.get(k);
            missed |= l != null && l.attempt.session() == r.session() && !m.reported.containsKey(k);
        }
        boolean sure = answer
                || (m.reachability.isSuspected()
                        ? m.reachability.endsSuspicion(r.token())
                        : !missed
                                && m.reachability.confirmedWithin(
                                        now, context.settings().heardMs()));
        if (sure) {
            m.reachability.confirmed(now);
            m.returned &= replica.machines().containsKey(m.name);
            notice(m, r);
        } else if (!m.reachability.isSuspected()) {
            counters.suspicions++;
            context.debug("machine " + m.name + " is heard but may not hear: "
                    + (missed ? "missed an answer" : "was silent"));
            m.suspect(now);
        }
    }

    private void notice(Machine m, Heartbeat r) {
        if (Double.isNaN(r.noticeS())) {
            m.takenAt = 0;
        } else {
            if (m.takenAt == 0) {
                context.info("machine " + m.name + " is to be taken away in " + r.noticeS() + " s");
            }
            m.takenAt = context.now() + (long) (r.noticeS() * 1000);
        }
    }

    /**
     * A report that lacks an attempt proves it gone only if it is from a later session than the launch, or if the
     * worker had by then seen a token above the launch's, so that a late copy of the launch is refused.
     */
    private static Outcome goneBy(Attempt a, Heartbeat r) {
        if (r.session() > a.session() || (r.session() == a.session() && r.token() > a.token())) {
            return Outcome.GONE;
        }
        return null;
    }

    private static Outcome endOf(TaskStatus t) {
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
    private void judge(Machine m, AssignedAttempt l, Outcome outcome) {
        context.debug(l.job.id + "/" + l.attempt.task() + " #" + l.attempt.number() + " on " + m.name + ": " + outcome);
        if (outcome == Outcome.DONE) {
            m.failedJobs.clear();
        } else if (outcome == Outcome.ERROR) {
            m.failedJobs.add(l.job.id);
            JobProgress work = machines.progress().of(l.job.id);
            work.errors++;
            work.failedOn.add(m.name);
            work.notBefore = context.now() + Math.min(30_000, 250L << Math.min(work.errors, 7));
            context.info("task " + l.job.id + "/" + l.attempt.task() + " failed on " + m.name + " (" + work.errors
                    + " failures of the job, " + m.failedJobs.size() + " jobs on the machine)");
        } else if (outcome == Outcome.REFUSED) {
            machines.progress().of(l.job.id).notBefore = context.now() + 1000;
        }
    }

    /** Sends what is new straight to the workers; the answers to their reports repeat it. */
    public void command() {
        if (!membership.joined() || machines.changed().isEmpty()) {
            return;
        }
        List<Machine> later = new ArrayList<>();
        for (Machine m : machines.changed()) {
            if (m.address == null || m.session == 0) {
                continue;
            }
            if (m.channel.busy()) {
                later.add(m);
                continue;
            }
            List<WorkerCommand> orders = planner.orders(m, false);
            boolean urgent = orders.stream().anyMatch(o -> o.kind() != WorkerCommand.Action.FORGET);
            boolean probe = m.reachability.probeDue(context.now(), PROBE_MS)
                    && (!m.reachability.tokenTold() && !m.live.isEmpty() || m.sequence > 0);
            if (urgent || probe) {
                counters.commands++;
                counters.probes += probe ? 1 : 0;
                if (probe) {
                    m.reachability.probed(context.now());
                }
                m.reachability.tokenSent();
                for (WorkerCommand o : orders) {
                    m.commanded.put(new AttemptId(o.job(), o.task(), o.attempt()), context.now());
                }
                m.channel.commandSent(launches(orders), context.now());
                orderLog.commanded(m, orders);
                context.emit(new Effect.SendCommands(m.name, m.address, m.session, m.token(), orders));
            }
        }
        machines.changed().clear();
        machines.changed().addAll(later);
    }

    /** Looks again at suspected machines, or ones with tasks that are still to show: an order may have been lost. */
    public void tick() {
        for (Machine m : machines.own()) {
            if (m.reachability.isSuspected()
                    || !m.stops.isEmpty()
                    || m.live.values().stream().anyMatch(l -> !l.over && !m.reported.containsKey(l.key))) {
                machines.touch(m);
            }
        }
    }

    public void answered(Input.CommandCompleted in) {
        Machine m = machines.get(in.machine());
        if (m == null) {
            return;
        }
        orderLog.settled(m, in);
        if (in.report() != null) {
            m.channel.commandSettled();
            report(0, in.report());
        } else if (in.sent()) {
            counters.launchesGivenUp += m.channel.commandGivenUp() ? 1 : 0;
        } else {
            m.channel.commandSettled();
        }
    }
}
