package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.wire.WorkerProtocol;
import io.undertow.util.StatusCodes;
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

    /** Sends commands; the core is told when they are answered, abandoned, or never sent. */
    void send(Effect.SendCommands command) {
        byte[] body = WorkerProtocol.commandRequest(command.incarnation(), command.fencingToken(), command.commands());
        boolean opened = workers.send(
                command.address(),
                WorkerProtocol.COMMAND_PATH,
                body,
                (status, answer) -> core.accept(new Input.CommandCompleted(
                        command.machine(),
                        command.fencingToken(),
                        true,
                        heartbeat(command.machine(), status, answer))));
        if (!opened) {
            // Nothing went out, so nothing can arrive late: the answers to heartbeats repeat the commands.
            core.accept(new Input.CommandCompleted(command.machine(), command.fencingToken(), false, null));
        }
    }

    /** The heartbeat in an answer, or null if there is none. */
    private static Heartbeat heartbeat(String machine, int status, byte[] answer) {
        try {
            return status == StatusCodes.OK || status == StatusCodes.CONFLICT ? WorkerProtocol.heartbeat(answer) : null;
        } catch (IOException | NumberFormatException e) {
            LOG.error("unreadable heartbeat of {}: {}", machine, e.getMessage());
            return null;
        }
    }
}
