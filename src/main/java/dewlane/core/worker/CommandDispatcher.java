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
 * Sends commands to the workers of this partition, in the responses to heartbeats and directly, and probes machines
 * that are suspected not to hear this controller. Each machine's command channel is kept informed of what is in flight.
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

    /** Sends what the planner plans. */
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

    /** Responds to the machine's latest heartbeat, which shows that the response before has arrived or is dropped. */
    void respond(Machine machine, long requestId) {
        machine.commandChannel().onResponseResolved();
        List<WorkerCommand> commands = planner.planResponse(machine);
        machine.commandChannel().onResponseSent(launches(commands));
        commandLog.sentInResponse(machine, commands);
        context.emit(new Effect.AnswerHeartbeat(requestId, machine.fencingToken(), commands));
    }

    private static Set<AttemptId> launches(List<WorkerCommand> commands) {
        Set<AttemptId> launches = new HashSet<>();
        for (WorkerCommand command : commands) {
            if (command.action() == Action.LAUNCH) {
                launches.add(command.attemptId());
            }
        }
        return launches;
    }

    /** Sends what is new directly; the responses to heartbeats repeat it. One command at a time goes to a machine. */
    public void sendDirectCommands() {
        if (!membership.isMember() || machines.changed().isEmpty()) {
            return;
        }
        List<Machine> postponed = new ArrayList<>();
        for (Machine machine : machines.changed()) {
            if (machine.address() == null || machine.worker().incarnation() == 0) {
                continue;
            }
            if (machine.commandChannel().isCommandInFlight()) {
                postponed.add(machine);
            } else {
                sendIfNeeded(machine);
            }
        }
        machines.changed().clear();
        machines.changed().addAll(postponed);
    }

    private void sendIfNeeded(Machine machine) {
        List<WorkerCommand> commands = planner.planDirectCommand(machine);
        // Forgetting can wait for the next response.
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

    /** A machine that was never heard is probed only to show it the present owner's token, if it may hold tasks. */
    private boolean isProbeDue(Machine machine) {
        boolean tokenUnseen =
                !machine.reachability().isTokenSent() && !machine.attempts().isEmpty();
        return machine.reachability().isProbeDue(context.nowMs(), PROBE_INTERVAL_MS)
                && (tokenUnseen || machine.worker().sequence() > 0);
    }

    private void send(Machine machine, List<WorkerCommand> commands) {
        counters.increment(Counter.COMMANDS);
        machine.reachability().markTokenSent();
        for (WorkerCommand command : commands) {
            machine.commands().onCommandSent(command.attemptId(), context.nowMs());
        }
        machine.commandChannel().onCommandSent(launches(commands), context.nowMs());
        commandLog.sentDirectly(machine, commands);
        context.emit(new Effect.SendCommands(
                machine.name(), machine.address(), machine.worker().incarnation(), machine.fencingToken(), commands));
    }

    /** A direct command to the machine was answered, was abandoned, or was never sent. */
    void onCompleted(Machine machine, Input.CommandCompleted completed) {
        commandLog.commandCompleted(machine, completed);
        boolean abandoned = completed.heartbeat() == null && completed.mayHaveBeenSent();
        if (!abandoned) {
            machine.commandChannel().onCommandResolved();
        } else if (machine.commandChannel().onCommandTimedOut()) {
            counters.increment(Counter.LAUNCHES_ABANDONED);
        }
    }

    /** Considers machines again that are suspected or have yet to show a command carried out: it may be lost. */
    public void tick() {
        for (Machine machine : machines.owned()) {
            if (machine.reachability().isSuspected()
                    || !machine.commands().preempted().isEmpty()
                    || hasUnreportedAttempt(machine)) {
                machines.markChanged(machine);
            }
        }
    }

    private static boolean hasUnreportedAttempt(Machine machine) {
        return machine.attempts().stream()
                .anyMatch(assigned -> !assigned.hasEnded() && !machine.worker().reports(assigned.id()));
    }
}
