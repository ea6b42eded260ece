package dewlane.io;

import dewlane.wire.UserProtocol;
import dewlane.wire.WorkerProtocol;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.function.BooleanSupplier;

/** Serves users, workers and health checks on one port: routes each request by its path. */
final class ServiceEndpoint implements HttpHandler {
    private static final String HEALTH_PATH = "/healthz";

    private final UserEndpoint users;
    private final HeartbeatEndpoint heartbeats;
    private final BooleanSupplier healthy;

    ServiceEndpoint(UserEndpoint users, HeartbeatEndpoint heartbeats, BooleanSupplier healthy) {
        this.users = users;
        this.heartbeats = heartbeats;
        this.healthy = healthy;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRelativePath();
        if (path.equals(HEALTH_PATH)) {
            answerHealthCheck(exchange);
        } else if (path.equals(WorkerProtocol.HEARTBEAT_PATH)) {
            HttpExchanges.requireMethod(
                    exchange, Methods.POST, () -> HttpExchanges.readBody(exchange, heartbeats::receive));
        } else if (path.equals(UserProtocol.JOBS_PATH)) {
            HttpExchanges.requireMethod(exchange, Methods.POST, () -> users.submit(exchange));
        } else if (path.startsWith(UserProtocol.JOBS_PATH + "/")) {
            users.handleJob(exchange, path.substring(UserProtocol.JOBS_PATH.length() + 1));
        } else {
            HttpExchanges.sendError(exchange, StatusCodes.NOT_FOUND, "no such path");
        }
    }

    private void answerHealthCheck(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            HttpExchanges.sendError(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use GET");
        } else if (healthy.getAsBoolean()) {
            HttpExchanges.send(exchange, StatusCodes.OK, UserProtocol.error(HttpExchanges.NO_ERROR));
        } else {
            HttpExchanges.sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready");
        }
    }
}
