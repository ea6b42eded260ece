package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;
import dewlane.core.model.AttemptId;
import dewlane.core.model.WorkerCommand;
import dewlane.core.store.StoreReplica;
import java.util.List;
import java.util.StringJoiner;

/**
 * Logs, at debug, each order to a worker: by which way it went, under which token and session, and up to which revision
 * of the state its sender had read. Lines are made only where they are wanted.
 */
final class CommandLog {
    private final ControllerContext context;
    private final StoreReplica replica;

    CommandLog(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Orders go out with the answer to a report. */
    void answered(Machine machine, List<WorkerCommand> orders) {
        sent(machine, "with the answer to report " + machine.worker().sequence(), orders);
    }

    /** Orders go out by a direct command. */
    void commanded(Machine machine, List<WorkerCommand> orders) {
        sent(machine, "by command", orders);
    }

    private void sent(Machine machine, String way, List<WorkerCommand> orders) {
        if (!context.logsCommands() || orders.isEmpty()) {
            return;
        }
        StringJoiner text = new StringJoiner(", ");
        for (WorkerCommand command : orders) {
            text.add(command.action() + " " + name(command.job(), command.task(), command.attempt()));
        }
        context.debug(machine.name() + " is told " + way + ", " + incarnationOf(machine) + ", state read to "
                + replica.revision() + ": " + text);
    }

    /** A direct command was answered, given up on, or not sent. */
    void commandCompleted(Machine machine, Input.CommandCompleted in) {
        if (!context.logsCommands()) {
            return;
        }
        String what = in.heartbeat() != null
                ? "answered by report " + in.heartbeat().sequence()
                : in.delivered() ? "given up on" : "not sent";
        context.debug("command to " + machine.name() + " with token " + in.fencingToken() + " " + what + " after "
                + machine.commandChannel().commandAgeMs(context.nowMs()) + " ms");
    }

    /** An attempt has ended and is not forgotten yet. */
    void forgetDeferred(Machine machine, AttemptId id) {
        if (context.logsCommands()) {
            context.debug(name(id.job(), id.task(), id.number()) + " on " + machine.name() + " is not forgotten yet, "
                    + incarnationOf(machine) + ": a launch of it is under way");
        }
    }

    /** All launches on their way to the machine are given up. */
    void fenceRaised(Machine machine, String reason) {
        if (context.logsCommands()) {
            context.debug("fence of " + machine.name() + " raised, " + incarnationOf(machine) + ": " + reason);
        }
    }

    private static String incarnationOf(Machine machine) {
        return "token " + machine.fencingToken() + " session "
                + machine.worker().incarnation();
    }

    private static String name(String job, int task, int attempt) {
        return job + "/" + task + " #" + attempt;
    }
}
