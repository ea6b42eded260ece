package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.wire.WorkerProtocol;
import io.undertow.util.StatusCodes;
import java.util.function.Consumer;

/** Sends direct commands to workers and reports their results to the core. */
final class WorkerCommandClient {
    private final WorkerConnectionPools workers;
    private final Consumer<Input> core;

    WorkerCommandClient(WorkerConnectionPools workers, Consumer<Input> core) {
        this.workers = workers;
        this.core = core;
    }

    /** Sends commands; the core receives an input when they are answered, time out, or cannot be sent. */
    void send(Effect.SendCommands command) {
        byte[] body = WorkerProtocol.commandRequest(command.incarnation(), command.fencingToken(), command.commands());
        boolean sent = workers.send(
                command.address(),
                WorkerProtocol.COMMAND_PATH,
                body,
                (status, answer) -> core.accept(new Input.CommandCompleted(
                        command.machine(),
                        command.fencingToken(),
                        true,
                        heartbeat(command.machine(), status, answer))));
        if (!sent) {
            // Nothing was sent, so nothing can be delivered late. The answers to heartbeats repeat the commands.
            core.accept(new Input.CommandCompleted(command.machine(), command.fencingToken(), false, null));
        }
    }

    /** Returns the heartbeat in an answer, or null if there is none. */
    private static Heartbeat heartbeat(String machine, int status, byte[] answer) {
        if (status != StatusCodes.OK && status != StatusCodes.CONFLICT) {
            return null;
        }
        return AnswerParser.parse(
                "heartbeat in the answer of machine " + machine + " to a command",
                () -> WorkerProtocol.parseHeartbeat(answer),
                null);
    }
}
