package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.JobProgressTable;
import dewlane.core.fleet.Machine;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.WorkerCommand;
import dewlane.core.model.WorkerCommand.Action;
import dewlane.core.store.StoreReplica;
import dewlane.core.worker.AttemptReconciler.UnassignedAttempts;
import java.util.ArrayList;
import java.util.List;

/**
 * Plans the commands to a machine. All of them are derived from the replica and the machine's latest heartbeat, so a
 * lost command is planned again, and a duplicated one has no effect.
 */
public final class CommandPlanner {
    /** Limits the size of a response or direct command, which must not be longer than 64 KiB. */
    private static final int MAX_COMMANDS = 400;

    private static final long RESEND_INTERVAL_MS = 2000;
    private static final double NO_GRACE_PERIOD_S = 0;

    private final ControllerContext context;
    private final JobProgressTable progress;
    private final CancellationTracker cancellations;
    private final AuthorityMonitor authority;
    private final AttemptReconciler reconciler;
    private final LaunchFence launchFence;
    private final ForgetPlanner forgets;
    private final CommandLog commandLog;

    /** Creates a planner that plans from the replica, as far as the controller's authority allows. */
    public CommandPlanner(
            ControllerContext context,
            StoreReplica replica,
            JobProgressTable progress,
            CancellationTracker cancellations,
            AuthorityMonitor authority,
            ControllerCounters counters) {
        this.context = context;
        this.progress = progress;
        this.cancellations = cancellations;
        this.authority = authority;
        this.reconciler = new AttemptReconciler(context, replica);
        this.commandLog = new CommandLog(context, replica);
        this.launchFence = new LaunchFence(cancellations, counters, commandLog);
        this.forgets = new ForgetPlanner(context, counters, commandLog);
    }

    /**
     * Returns all commands that apply now, for a response. Responses repeat commands until a heartbeat shows that they
     * were executed.
     */
    List<WorkerCommand> planResponse(Machine machine) {
        UnassignedAttempts unassigned = reconciler.unassigned(machine);
        launchFence.raiseIfForbiddenLaunchMayArrive(machine);
        logUnassigned(machine, unassigned.running());
        return plan(machine, true, unassigned.running(), forgets.planForResponse(machine, unassigned.exited()));
    }

    /**
     * Returns the commands that apply now, for a direct command. It omits launches and stops that were sent directly
     * within the resend interval.
     */
    List<WorkerCommand> planDirectCommand(Machine machine) {
        UnassignedAttempts unassigned = reconciler.unassigned(machine);
        launchFence.raiseIfForbiddenLaunchMayArrive(machine);
        return plan(machine, false, unassigned.running(), forgets.planForDirectCommand(machine, unassigned.exited()));
    }

    /** Logs attempts that a heartbeat has just reported as running, each once. */
    private void logUnassigned(Machine machine, List<AttemptId> running) {
        for (AttemptId id : running) {
            if (machine.commands().addUnassigned(id)) {
                commandLog.onUnassignedAttemptRuns(machine, id);
            }
        }
    }

    private List<WorkerCommand> plan(
            Machine machine, boolean repeat, List<AttemptId> toStop, List<AttemptId> toForget) {
        List<WorkerCommand> commands = new ArrayList<>();
        addForAssigned(machine, repeat, commands);
        for (AttemptId id : toStop) {
            if (repeat || isDue(machine, id)) {
                commands.add(command(Action.STOP, id, NO_GRACE_PERIOD_S));
            }
        }
        for (AttemptId id : toForget) {
            commands.add(command(Action.FORGET, id, NO_GRACE_PERIOD_S));
        }
        // The remaining commands follow with the next response.
        return commands.size() > MAX_COMMANDS ? commands.subList(0, MAX_COMMANDS) : commands;
    }

    private void addForAssigned(Machine machine, boolean repeat, List<WorkerCommand> commands) {
        boolean maySendLaunches = authority.current().maySendLaunches();
        for (AssignedAttempt assigned : machine.attempts()) {
            WorkerCommand command = commandFor(machine, assigned, maySendLaunches);
            if (command != null && (repeat || isDue(machine, assigned.id()))) {
                commands.add(command);
            }
        }
    }

    private boolean isDue(Machine machine, AttemptId id) {
        return !machine.commands().wasCommandedWithin(id, context.nowMs(), RESEND_INTERVAL_MS);
    }

    /** Returns the command about an attempt that the store assigns to the machine, or null if there is none. */
    private WorkerCommand commandFor(Machine machine, AssignedAttempt assigned, boolean maySendLaunches) {
        TaskStatus status = machine.worker().task(assigned.id());
        if (status == null) {
            return maySendLaunches && mayLaunch(machine, assigned)
                    ? command(Action.LAUNCH, assigned.id(), NO_GRACE_PERIOD_S)
                    : null;
        }
        if (status.phase() == Phase.EXITED) {
            return null;
        }
        if (cancellations.mustNotRun(assigned.job())) {
            return command(Action.STOP, assigned.id(), NO_GRACE_PERIOD_S);
        }
        if (!machine.commands().isPreempted(assigned.id()) || status.phase() == Phase.SAVING) {
            return null;
        }
        return command(Action.STOP, assigned.id(), machine.commands().preemptionGraceS(assigned.id()));
    }

    /**
     * Returns true if a launch of the attempt may be sent. A launch may be sent only with the fencing token that was
     * stored with it; otherwise a heartbeat with a higher token would not prove that the attempt cannot start any more.
     * The caller checks that the replica is fresh: a launch that was stored long ago must not be sent from a replica
     * that may lack the cancellation of its job.
     */
    private boolean mayLaunch(Machine machine, AssignedAttempt assigned) {
        return !cancellations.mustNotRun(assigned.job())
                && machine.launches().isAccepted(assigned)
                && progress.getOrCreate(assigned.job().id()).outcome(assigned.id()) == null;
    }

    private static WorkerCommand command(Action action, AttemptId id, double graceS) {
        return new WorkerCommand(action, id.job(), id.task(), id.number(), graceS);
    }
}
