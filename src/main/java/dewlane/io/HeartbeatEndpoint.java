package dewlane.io;

import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat;
import dewlane.wire.UserProtocol;
import dewlane.wire.WorkerProtocol;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The workers' protocol over HTTP: heartbeats, each answered at once. */
final class HeartbeatEndpoint {
    /** What a worker is told that is to try the next controller. */
    static final String NOT_ENTITLED = "not entitled now";

    private final PendingRequests requests;
    private final Consumer<Input> core;
    private final BooleanSupplier keepsConnections;

    /**
     * Forwards heartbeats to the core.
     *
     * @param keepsConnections false while there are more machines than connections, so that they take turns
     */
    HeartbeatEndpoint(PendingRequests requests, Consumer<Input> core, BooleanSupplier keepsConnections) {
        this.requests = requests;
        this.core = core;
        this.keepsConnections = keepsConnections;
    }

    /** Takes a heartbeat, once its whole body is there. */
    void receive(HttpServerExchange exchange, byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerProtocol.heartbeat(body);
        } catch (IOException | NumberFormatException e) {
            HttpExchanges.sendError(exchange, StatusCodes.BAD_REQUEST, "not a report");
            return;
        }
        if (!keepsConnections.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        long id = requests.add(exchange);
        core.accept(new Input.HeartbeatReceived(id, heartbeat));
        requests.answer(id, StatusCodes.SERVICE_UNAVAILABLE, UserProtocol.error(NOT_ENTITLED));
    }
}
