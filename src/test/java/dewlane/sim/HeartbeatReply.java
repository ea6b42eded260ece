package dewlane.sim;

import dewlane.core.model.WorkerCommand;
import java.util.List;

/**
 * A controller's reply to a heartbeat.
 *
 * @param status the status of the HTTP response
 * @param token the fencing token of the commands, if the heartbeat was accepted
 * @param commands the commands to the worker, if the heartbeat was accepted
 * @param redirectTo the controller to send heartbeats to instead, or null if there is none
 */
record HeartbeatReply(int status, long token, List<WorkerCommand> commands, String redirectTo) {
    private static final int ACCEPTED = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    static HeartbeatReply accepted(long token, List<WorkerCommand> commands) {
        return new HeartbeatReply(ACCEPTED, token, commands, null);
    }

    static HeartbeatReply redirect(String controller) {
        return new HeartbeatReply(MISDIRECTED, 0, null, controller);
    }

    static HeartbeatReply refusal() {
        return new HeartbeatReply(UNAVAILABLE, 0, null, null);
    }

    boolean isAccepted() {
        return status == ACCEPTED;
    }

    boolean isRedirect() {
        return status == MISDIRECTED;
    }
}
