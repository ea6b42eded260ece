package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.Machine.AssignedAttempt;
import dewlane.core.fleet.Machine.AttemptId;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.WorkerCommand;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.List;

/** Works out what a machine is to be told. All of it follows from the replica and the machine's latest report. */
final class CommandPlanner {
    /** How long an attempt that the replica does not explain is left alone: the replica may lag. */
    private static final long UNACCOUNTED_MS = 5000;

    private static final int MOST_ORDERS = 400;
    private static final long RESEND_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final CancellationTracker cancellations;
    private final AuthorityMonitor standing;
    private final ControllerCounters counters;
    private final CommandLog orderLog;

    CommandPlanner(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            CancellationTracker cancellations,
            AuthorityMonitor standing,
            ControllerCounters counters,
            CommandLog orderLog) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.cancellations = cancellations;
        this.standing = standing;
        this.counters = counters;
        this.orderLog = orderLog;
    }

    /** What the machine should do now. All of it is repeated in every answer until a report shows it done. */
    List<WorkerCommand> orders(Machine m, boolean inAnswer) {
        List<AttemptId> forget = new ArrayList<>();
        List<AttemptId> strangers = new ArrayList<>();
        m.reported.forEach((key, t) -> {
            if (!m.live.containsKey(key)) {
                settle(m, key, t, forget, strangers);
            }
        });
        raiseFenceIfNeeded(m, forget);
        forget.removeIf(key -> heldBack(m, key));
        boolean mayLaunch = standing.now().maySendLaunches();
        List<WorkerCommand> orders = new ArrayList<>();
        for (AssignedAttempt l : m.live.values()) {
            WorkerCommand order = orderFor(m, l, mayLaunch);
            if (order != null && (inAnswer || due(m, l.key))) {
                orders.add(order);
            }
        }
        for (AttemptId k : strangers) {
            if (!inAnswer && !due(m, k)) {
                continue;
            }
            orders.add(new WorkerCommand(WorkerCommand.Action.STOP, k.job(), k.task(), k.number(), 0));
        }
        for (AttemptId k : forget) {
            orders.add(new WorkerCommand(WorkerCommand.Action.FORGET, k.job(), k.task(), k.number(), 0));
        }
        // The rest follows with the next answer: no answer or command may be longer than 64 KiB.
        return orders.size() > MOST_ORDERS ? orders.subList(0, MOST_ORDERS) : orders;
    }

    /** Refuses, from the next answer or command on, launches that must not be carried out any more. */
    private void raiseFenceIfNeeded(Machine m, List<AttemptId> forget) {
        String reason = null;
        if (forget.stream().anyMatch(m.channel::launchAbandoned)) {
            reason = "a command that launches what is to be forgotten was given up on";
        } else if (m.live.values().stream().anyMatch(l -> endedOnTheWay(m, l))) {
            reason = "a launch on its way is of a job that is over";
        }
        if (reason != null) {
            counters.fencesRaised++;
            m.channel.raiseFence();
            orderLog.fenceRaised(m, reason);
        }
    }

    /** A launch that may still be on its way must not arrive after its job's cancellation. */
    private boolean endedOnTheWay(Machine m, AssignedAttempt l) {
        return cancellations.ended(l.job)
                && !m.reported.containsKey(l.key)
                && l.attempt.session() == m.session
                && l.attempt.token() == m.token();
    }

    /** Forgetting waits until no copy of the launch can arrive; raising the fence instead would give up others too. */
    private boolean heldBack(Machine m, AttemptId key) {
        boolean held = m.channel.launchUnderWay(key);
        if (held) {
            counters.forgetsHeld++;
            orderLog.forgetHeld(m, key);
        }
        return held;
    }

    private boolean due(Machine m, AttemptId key) {
        return !m.commanded.containsKey(key) || context.now() - m.commanded.getLong(key) > RESEND_MS;
    }

    private WorkerCommand orderFor(Machine m, AssignedAttempt l, boolean mayLaunch) {
        TaskStatus t = m.reported.get(l.key);
        Attempt a = l.attempt;
        if (t == null) {
            // Only the token written with the launch may ever command it, or the proof of gone would not hold. And a
            // launch written long ago must not be sent on a view that may lack its job's cancellation.
            boolean launches = mayLaunch
                    && !cancellations.ended(l.job)
                    && a.session() == m.session
                    && a.token() == m.token()
                    && !machines.progress().of(l.job.id).outcomes.containsKey(l.key);
            return launches ? new WorkerCommand(WorkerCommand.Action.LAUNCH, l.job.id, a.task(), a.number(), 0) : null;
        }
        if (t.phase() == Phase.EXITED) {
            return null;
        }
        if (cancellations.ended(l.job)) {
            return new WorkerCommand(WorkerCommand.Action.STOP, l.job.id, a.task(), a.number(), 0);
        }
        Double grace = m.stops.get(l.key);
        return grace == null || t.phase() == Phase.SAVING
                ? null
                : new WorkerCommand(WorkerCommand.Action.STOP, l.job.id, a.task(), a.number(), grace);
    }

    /** An attempt on the machine that the replica does not hold against it. */
    private void settle(Machine m, AttemptId key, TaskStatus t, List<AttemptId> forget, List<AttemptId> strangers) {
        if (replica.isHeld(key.job())) {
            return;
        }
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
}
