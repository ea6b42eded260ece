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
 * Logs each command to a worker at debug level: how it was sent, its fencing token and incarnation, and the revision of
 * the replica from which it was planned. Lines are composed only if command logging is enabled.
 */
final class CommandLog {
    private final ControllerContext context;
    private final StoreReplica replica;

    CommandLog(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Called when commands are sent in the response to the machine's latest heartbeat. */
    void onSentInResponse(Machine machine, List<WorkerCommand> commands) {
        logSent(machine, "in the response to heartbeat " + machine.worker().sequence(), commands);
    }

    /** Called when commands are sent directly to the worker. */
    void onSentDirectly(Machine machine, List<WorkerCommand> commands) {
        logSent(machine, "by direct command", commands);
    }

    private void logSent(Machine machine, String delivery, List<WorkerCommand> commands) {
        if (!context.isCommandLoggingEnabled() || commands.isEmpty()) {
            return;
        }
        StringJoiner text = new StringJoiner(", ");
        for (WorkerCommand command : commands) {
            text.add(command.action() + " " + command.attemptId());
        }
        context.debug("commands to " + machine.name() + " " + delivery + ", " + tokenAndIncarnation(machine)
                + ", replica at revision " + replica.revision() + ": " + text);
    }

    /** Called when a direct command was answered, timed out, or was never sent. */
    void onCommandCompleted(Machine machine, Input.CommandCompleted completed) {
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
        return completed.mayHaveBeenSent() ? "timed out" : "not sent";
    }

    /** Called when an attempt has ended, but the command to forget it is deferred. */
    void onForgetDeferred(Machine machine, AttemptId id) {
        if (context.isCommandLoggingEnabled()) {
            context.debug("forget of " + id + " on " + machine.name() + " deferred, " + tokenAndIncarnation(machine)
                    + ": launched with this token");
        }
    }

    /** Called when the fence is raised because a launch may arrive of a job that was cancelled or has ended. */
    void onFenceRaisedForEndedJob(Machine machine) {
        context.info("fence of " + machine.name() + " raised, " + tokenAndIncarnation(machine)
                + ": a launch in flight is of a job that has ended or is cancelled");
    }

    /** Called when a worker reports a running attempt that the store does not assign to its machine. */
    void onUnassignedAttemptRuns(Machine machine, AttemptId id) {
        context.info(id + " runs on " + machine.name() + ", where the store does not assign it, and is stopped, "
                + tokenAndIncarnation(machine) + ", replica at revision " + replica.revision());
    }

    private static String tokenAndIncarnation(Machine machine) {
        return "token " + machine.fencingToken() + " of epoch "
                + machine.commandChannel().epoch() + " incarnation "
                + machine.worker().incarnation();
    }
}
