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

/** Serves the heartbeats of workers over HTTP. Each heartbeat is answered before {@link #receive} returns. */
final class HeartbeatEndpoint {
    /** The error text of the answer that makes a worker try the next controller. */
    static final String NOT_ENTITLED = "not entitled now";

    private final PendingRequests requests;
    private final Consumer<Input> core;
    private final BooleanSupplier mayKeepConnections;

    /**
     * Creates an endpoint that passes heartbeats to the core.
     *
     * @param mayKeepConnections false while there are more machines than connections that may stay open; each
     *     connection is then closed after its answer
     */
    HeartbeatEndpoint(PendingRequests requests, Consumer<Input> core, BooleanSupplier mayKeepConnections) {
        this.requests = requests;
        this.core = core;
        this.mayKeepConnections = mayKeepConnections;
    }

    /** Passes a heartbeat to the core; if the core does not answer it, it is rejected. */
    void receive(HttpServerExchange exchange, byte[] body) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerProtocol.parseHeartbeat(body);
        } catch (IOException | NumberFormatException e) {
            HttpExchanges.sendError(exchange, StatusCodes.BAD_REQUEST, "not a report");
            return;
        }
        if (!mayKeepConnections.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        long id = requests.add(exchange);
        core.accept(new Input.HeartbeatReceived(id, heartbeat));
        requests.answer(id, StatusCodes.SERVICE_UNAVAILABLE, UserProtocol.error(NOT_ENTITLED));
    }
}
