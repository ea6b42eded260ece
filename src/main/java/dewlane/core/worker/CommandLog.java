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
 * Logs, at debug level, each command to a worker: the way it was sent, its fencing token and incarnation, and the
 * revision that the replica had reached when it was planned. Lines are composed only if the log wants them.
 */
final class CommandLog {
    private final ControllerContext context;
    private final StoreReplica replica;

    CommandLog(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Commands are sent in the response to the machine's latest heartbeat. */
    void sentInResponse(Machine machine, List<WorkerCommand> commands) {
        sent(machine, "in the response to heartbeat " + machine.worker().sequence(), commands);
    }

    /** Commands are sent straight to the worker. */
    void sentDirectly(Machine machine, List<WorkerCommand> commands) {
        sent(machine, "by direct command", commands);
    }

    private void sent(Machine machine, String way, List<WorkerCommand> commands) {
        if (!context.isCommandLoggingEnabled() || commands.isEmpty()) {
            return;
        }
        StringJoiner text = new StringJoiner(", ");
        for (WorkerCommand command : commands) {
            text.add(command.action() + " " + command.attemptId());
        }
        context.debug("commands to " + machine.name() + " " + way + ", " + tokenAndIncarnation(machine)
                + ", replica at revision " + replica.revision() + ": " + text);
    }

    /** A direct command was answered, abandoned, or never sent. */
    void commandCompleted(Machine machine, Input.CommandCompleted completed) {
        if (!context.isCommandLoggingEnabled()) {
            return;
        }
        long ageMs = machine.commandChannel().commandAgeMs(context.nowMs());
        context.debug("command to " + machine.name() + " with token " + completed.fencingToken() + " "
                + resultOf(completed) + " after " + ageMs + " ms");
    }

    private static String resultOf(Input.CommandCompleted completed) {
        if (completed.heartbeat() != null) {
            return "answered by heartbeat " + completed.heartbeat().sequence();
        }
        return completed.mayHaveBeenSent() ? "abandoned" : "not sent";
    }

    /** An attempt has ended, and the command to forget it has to wait. */
    void forgetDeferred(Machine machine, AttemptId id) {
        if (context.isCommandLoggingEnabled()) {
            context.debug("forget of " + id + " on " + machine.name() + " deferred, " + tokenAndIncarnation(machine)
                    + ": a launch of it is in flight");
        }
    }

    /** All launches in flight to the machine are fenced off. */
    void fenceRaised(Machine machine, String reason) {
        if (context.isCommandLoggingEnabled()) {
            context.debug("fence of " + machine.name() + " raised, " + tokenAndIncarnation(machine) + ": " + reason);
        }
    }

    private static String tokenAndIncarnation(Machine machine) {
        return "token " + machine.fencingToken() + " incarnation "
                + machine.worker().incarnation();
    }
}
