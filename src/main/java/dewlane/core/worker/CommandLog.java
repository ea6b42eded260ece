package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.Machine.AttemptId;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;
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
    void answered(Machine m, List<WorkerCommand> orders) {
        sent(m, "with the answer to report " + m.sequence, orders);
    }

    /** Orders go out by a direct command. */
    void commanded(Machine m, List<WorkerCommand> orders) {
        sent(m, "by command", orders);
    }

    private void sent(Machine m, String way, List<WorkerCommand> orders) {
        if (!context.ordersLogged() || orders.isEmpty()) {
            return;
        }
        StringJoiner text = new StringJoiner(", ");
        for (WorkerCommand o : orders) {
            text.add(o.kind() + " " + name(o.job(), o.task(), o.attempt()));
        }
        context.debug(m.name + " is told " + way + ", " + standing(m) + ", state read to " + replica.revision() + ": "
                + text);
    }

    /** A direct command was answered, given up on, or not sent. */
    void settled(Machine m, Input.CommandCompleted in) {
        if (!context.ordersLogged()) {
            return;
        }
        String what = in.report() != null
                ? "answered by report " + in.report().sequence()
                : in.sent() ? "given up on" : "not sent";
        context.debug("command to " + m.name + " with token " + in.token() + " " + what + " after "
                + m.channel.commandAgeMs(context.now()) + " ms");
    }

    /** An attempt has ended and is not forgotten yet. */
    void forgetHeld(Machine m, AttemptId key) {
        if (context.ordersLogged()) {
            context.debug(name(key.job(), key.task(), key.number()) + " on " + m.name + " is not forgotten yet, "
                    + standing(m) + ": a launch of it is under way");
        }
    }

    /** All launches on their way to the machine are given up. */
    void fenceRaised(Machine m, String reason) {
        if (context.ordersLogged()) {
            context.debug("fence of " + m.name + " raised, " + standing(m) + ": " + reason);
        }
    }

    private static String standing(Machine m) {
        return "token " + m.token() + " session " + m.session;
    }

    private static String name(String job, int task, int attempt) {
        return job + "/" + task + " #" + attempt;
    }
}
