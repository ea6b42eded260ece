package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.wire.WorkerProtocol;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends direct commands to workers, and tells the core how each ended. */
final class WorkerCommandClient {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerCommandClient.class);

    private final WorkerConnectionPools workers;
    private final Consumer<Input> core;

    WorkerCommandClient(WorkerConnectionPools workers, Consumer<Input> core) {
        this.workers = workers;
        this.core = core;
    }

    void send(Effect.SendCommands command) {
        byte[] body = WorkerProtocol.command(command.incarnation(), command.fencingToken(), command.commands());
        boolean sent = workers.send(
                command.address(),
                WorkerProtocol.COMMAND,
                body,
                (status, answer) -> core.accept(new Input.CommandCompleted(
                        command.machine(), command.fencingToken(), true, report(command.machine(), status, answer))));
        if (!sent) {
            // Nothing went out, so nothing can arrive late: the answers to the machine's reports say the same.
            core.accept(new Input.CommandCompleted(command.machine(), command.fencingToken(), false, null));
        }
    }

    /** The report in an answer, or null if there is none. */
    private static Heartbeat report(String machine, int status, byte[] answer) {
        try {
            return status == 200 || status == 409 ? WorkerProtocol.report(answer) : null;
        } catch (IOException | NumberFormatException e) {
            LOG.error("unreadable report of {}: {}", machine, e.getMessage());
            return null;
        }
    }
}
