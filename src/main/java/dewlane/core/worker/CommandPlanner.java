package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
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
    private static final long REPLICA_LAG_GRACE_MS = 5000;

    private static final int MAX_COMMANDS = 400;
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
    List<WorkerCommand> plan(Machine machine, boolean inAnswer) {
        List<AttemptId> forget = new ArrayList<>();
        List<AttemptId> strangers = new ArrayList<>();
        machine.worker().tasks().forEach((id, status) -> {
            if (machine.attempt(id) == null) {
                reconcile(machine, id, status, forget, strangers);
            }
        });
        raiseFenceIfNeeded(machine, forget);
        forget.removeIf(id -> isForgetDeferred(machine, id));
        boolean mayLaunch = standing.current().maySendLaunches();
        List<WorkerCommand> orders = new ArrayList<>();
        for (AssignedAttempt assigned : machine.attempts()) {
            WorkerCommand order = commandFor(machine, assigned, mayLaunch);
            if (order != null && (inAnswer || isDue(machine, assigned.id()))) {
                orders.add(order);
            }
        }
        for (AttemptId id : strangers) {
            if (!inAnswer && !isDue(machine, id)) {
                continue;
            }
            orders.add(new WorkerCommand(WorkerCommand.Action.STOP, id.job(), id.task(), id.number(), 0));
        }
        for (AttemptId id : forget) {
            orders.add(new WorkerCommand(WorkerCommand.Action.FORGET, id.job(), id.task(), id.number(), 0));
        }
        // The rest follows with the next answer: no answer or command may be longer than 64 KiB.
        return orders.size() > MAX_COMMANDS ? orders.subList(0, MAX_COMMANDS) : orders;
    }

    /** Refuses, from the next answer or command on, launches that must not be carried out any more. */
    private void raiseFenceIfNeeded(Machine machine, List<AttemptId> forget) {
        String reason = null;
        if (forget.stream().anyMatch(machine.commandChannel()::isLaunchAbandoned)) {
            reason = "a command that launches what is to be forgotten was given up on";
        } else if (machine.attempts().stream().anyMatch(assigned -> isLaunchOfStoppedJobInFlight(machine, assigned))) {
            reason = "a launch on its way is of a job that is over";
        }
        if (reason != null) {
            counters.increment(Counter.FENCES_RAISED);
            machine.commandChannel().raiseFence();
            orderLog.fenceRaised(machine, reason);
        }
    }

    /** A launch that may still be on its way must not arrive after its job's cancellation. */
    private boolean isLaunchOfStoppedJobInFlight(Machine machine, AssignedAttempt assigned) {
        return cancellations.mustNotRun(assigned.job())
                && !machine.worker().reports(assigned.id())
                && assigned.attempt().incarnation() == machine.worker().incarnation()
                && assigned.attempt().fencingToken() == machine.fencingToken();
    }

    /** Forgetting waits until no copy of the launch can arrive; raising the fence instead would give up others too. */
    private boolean isForgetDeferred(Machine machine, AttemptId id) {
        boolean held = machine.commandChannel().isLaunchInFlight(id);
        if (held) {
            counters.increment(Counter.FORGETS_DEFERRED);
            orderLog.forgetDeferred(machine, id);
        }
        return held;
    }

    private boolean isDue(Machine machine, AttemptId id) {
        return !machine.commands().wasCommandedWithin(id, context.nowMs(), RESEND_MS);
    }

    private WorkerCommand commandFor(Machine machine, AssignedAttempt assigned, boolean mayLaunch) {
        TaskStatus status = machine.worker().task(assigned.id());
        Attempt attempt = assigned.attempt();
        if (status == null) {
            // Only the token written with the launch may ever command it, or the proof of gone would not hold. And a
            // launch written long ago must not be sent on a view that may lack its job's cancellation.
            boolean launches = mayLaunch
                    && !cancellations.mustNotRun(assigned.job())
                    && attempt.incarnation() == machine.worker().incarnation()
                    && attempt.fencingToken() == machine.fencingToken()
                    && machines.progress().getOrCreate(assigned.job().id()).outcome(assigned.id()) == null;
            return launches
                    ? new WorkerCommand(
                            WorkerCommand.Action.LAUNCH, assigned.job().id(), attempt.task(), attempt.number(), 0)
                    : null;
        }
        if (status.phase() == Phase.EXITED) {
            return null;
        }
        if (cancellations.mustNotRun(assigned.job())) {
            return new WorkerCommand(
                    WorkerCommand.Action.STOP, assigned.job().id(), attempt.task(), attempt.number(), 0);
        }
        if (!machine.commands().isPreempted(assigned.id()) || status.phase() == Phase.SAVING) {
            return null;
        }
        double graceS = machine.commands().preemptionGraceS(assigned.id());
        return new WorkerCommand(
                WorkerCommand.Action.STOP, assigned.job().id(), attempt.task(), attempt.number(), graceS);
    }

    /** An attempt on the machine that the replica does not hold against it. */
    private void reconcile(
            Machine machine, AttemptId id, TaskStatus status, List<AttemptId> forget, List<AttemptId> strangers) {
        if (replica.isUnreadable(id.job())) {
            return;
        }
        JobEntry job = replica.job(id.job());
        SliceEntry slice = job == null ? null : job.sliceOf(id.task());
        boolean settled = slice != null ? slice.value().launchCount() >= id.number() : replica.result(id.job()) != null;
        if (!settled) {
            settled = machine.commands().unaccountedForMs(id, context.nowMs()) > REPLICA_LAG_GRACE_MS;
        }
        if (settled && status.phase() == Phase.EXITED) {
            forget.add(id);
        } else if (settled) {
            strangers.add(id);
        }
    }
}
