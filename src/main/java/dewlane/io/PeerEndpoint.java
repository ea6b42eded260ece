package dewlane.io;

import dewlane.core.message.Input;
import dewlane.wire.PeerProtocol;
import dewlane.wire.UserProtocol;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.function.Consumer;

/** Serves the protocol between controllers over HTTP, on a separate port. */
final class PeerEndpoint implements HttpHandler {
    private final Consumer<Input> core;

    PeerEndpoint(Consumer<Input> core) {
        this.core = core;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.getRelativePath().equals(PeerProtocol.STATUS_PATH)) {
            HttpExchanges.readBody(exchange, this::receive);
        } else {
            HttpExchanges.sendError(exchange, StatusCodes.NOT_FOUND, "no such path");
        }
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        try {
            core.accept(new Input.PeerStatusReceived(PeerProtocol.parseStatus(body)));
            HttpExchanges.send(exchange, StatusCodes.OK, UserProtocol.error(HttpExchanges.NO_ERROR));
        } catch (IOException | RuntimeException e) {
            HttpExchanges.sendError(exchange, StatusCodes.BAD_REQUEST, "not a status");
        }
    }
}
