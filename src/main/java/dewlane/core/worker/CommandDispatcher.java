package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.AttemptId;
import dewlane.core.model.WorkerCommand;
import dewlane.core.model.WorkerCommand.Action;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Sends commands to the workers of this partition, directly and in the responses to heartbeats, and probes machines
 * that are suspected unreachable. Each machine's command channel is notified of what is in flight.
 */
public final class CommandDispatcher {
    /** How often a suspected machine is probed. */
    private static final long PROBE_INTERVAL_MS = 2000;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final Membership membership;
    private final ControllerCounters counters;
    private final CommandPlanner planner;
    private final CommandLog commandLog;

    /** Creates a dispatcher that sends the commands of the planner. */
    public CommandDispatcher(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            ControllerCounters counters,
            CommandPlanner planner) {
        this.context = context;
        this.machines = machines;
        this.membership = membership;
        this.counters = counters;
        this.planner = planner;
        this.commandLog = new CommandLog(context, replica);
    }

    /**
     * Responds to the machine's latest heartbeat, which shows that the worker has received the response to the previous
     * one or will drop it.
     */
    void respond(Machine machine, long requestId) {
        machine.commandChannel().onResponseResolved();
        List<WorkerCommand> commands = planner.planResponse(machine);
        machine.commandChannel().onResponseSent(attempts(commands, Action.LAUNCH));
        counters.add(Counter.FORGETS, attempts(commands, Action.FORGET).size());
        commandLog.onSentInResponse(machine, commands);
        context.emit(new Effect.AnswerHeartbeat(requestId, machine.fencingToken(), commands));
    }

    /** Returns the attempts that commands with the given action are about. */
    private static Set<AttemptId> attempts(List<WorkerCommand> commands, Action action) {
        Set<AttemptId> attempts = new HashSet<>();
        for (WorkerCommand command : commands) {
            if (command.action() == action) {
                attempts.add(command.attemptId());
            }
        }
        return attempts;
    }

    /**
     * Sends new commands directly; the responses to heartbeats repeat them. At most one direct command is in flight to
     * a machine.
     */
    public void sendDirectCommands() {
        if (!membership.isMember() || machines.machinesToPlan().isEmpty()) {
            return;
        }
        List<Machine> postponed = new ArrayList<>();
        for (Machine machine : machines.machinesToPlan()) {
            if (machine.address() == null || machine.worker().incarnation() == 0) {
                continue;
            }
            if (machine.commandChannel().isCommandInFlight()) {
                postponed.add(machine);
            } else {
                sendIfNeeded(machine);
            }
        }
        machines.machinesToPlan().clear();
        machines.machinesToPlan().addAll(postponed);
    }

    private void sendIfNeeded(Machine machine) {
        List<WorkerCommand> commands = planner.planDirectCommand(machine);
        // A command to forget an attempt can wait for the next response.
        boolean urgent = commands.stream().anyMatch(command -> command.action() != Action.FORGET);
        boolean probe = isProbeDue(machine);
        if (probe) {
            counters.increment(Counter.PROBES);
            machine.reachability().onProbeSent(context.nowMs());
        }
        if (urgent || probe) {
            send(machine, commands);
        }
    }

    /**
     * Returns true if the machine is to be probed. A machine from which no heartbeat was received yet is probed only if
     * tasks may be on it, and only to send it the current owner's token.
     */
    private boolean isProbeDue(Machine machine) {
        boolean tokenNotSent =
                !machine.reachability().isTokenSent() && !machine.attempts().isEmpty();
        return machine.reachability().isProbeDue(context.nowMs(), PROBE_INTERVAL_MS)
                && (tokenNotSent || machine.worker().sequence() > 0);
    }

    private void send(Machine machine, List<WorkerCommand> commands) {
        counters.increment(Counter.COMMANDS);
        machine.reachability().markTokenSent();
        for (WorkerCommand command : commands) {
            machine.commands().onCommandSent(command.attemptId(), context.nowMs());
        }
        machine.commandChannel().onCommandSent(attempts(commands, Action.LAUNCH), context.nowMs());
        counters.add(Counter.FORGETS, attempts(commands, Action.FORGET).size());
        commandLog.onSentDirectly(machine, commands);
        context.emit(new Effect.SendCommands(
                machine.name(), machine.address(), machine.worker().incarnation(), machine.fencingToken(), commands));
    }

    /** Called when a direct command to the machine was answered, timed out, or was never sent. */
    void onCompleted(Machine machine, Input.CommandCompleted completed) {
        commandLog.onCommandCompleted(machine, completed);
        boolean timedOut = completed.heartbeat() == null && completed.mayHaveBeenSent();
        boolean hadLaunches = machine.commandChannel().onCommandCompleted();
        if (timedOut && hadLaunches) {
            counters.increment(Counter.LAUNCHES_ABANDONED);
        }
    }

    /**
     * Marks machines to have their commands planned again if they are suspected, have attempts to be preempted, or do
     * not report an assigned attempt yet, as the command about that attempt may be lost.
     */
    public void tick() {
        for (Machine machine : machines.owned()) {
            if (machine.reachability().isSuspected()
                    || !machine.commands().preempted().isEmpty()
                    || hasUnreportedAttempt(machine)) {
                machines.markForPlanning(machine);
            }
        }
    }

    private static boolean hasUnreportedAttempt(Machine machine) {
        return machine.attempts().stream()
                .anyMatch(assigned -> !assigned.hasEnded() && !machine.worker().reports(assigned.id()));
    }
}
