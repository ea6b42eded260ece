package dewlane.io;

import dewlane.core.message.Input;
import dewlane.wire.UserProtocol;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/** Serves the users' protocol over HTTP: submissions, status queries and cancellations. */
final class UserEndpoint {
    private final PendingRequests requests;
    private final BodyBudget bodies;
    private final Consumer<Input> core;

    UserEndpoint(PendingRequests requests, BodyBudget bodies, Consumer<Input> core) {
        this.requests = requests;
        this.bodies = bodies;
        this.core = core;
    }

    /** Reads a submission and passes it to the core. */
    void submit(HttpServerExchange exchange) {
        bodies.readBody(exchange, this::submit);
    }

    private void submit(HttpServerExchange exchange, byte[] body) {
        UserProtocol.Submission submission = UserProtocol.parseSubmission(body);
        forward(
                exchange,
                PendingRequests.Kind.CHANGE,
                id -> new Input.SubmitJob(id, submission.jobId(), submission.job(), submission.bodyError()));
    }

    /** Handles a query or a cancellation; {@code path} is the part after the path of submissions and a slash. */
    void handleJob(HttpServerExchange exchange, String path) {
        int slash = path.indexOf('/');
        String job = slash < 0 ? path : path.substring(0, slash);
        boolean cancel = slash >= 0 && path.substring(slash + 1).equals(UserProtocol.CANCEL_ACTION);
        HttpString method = cancel ? Methods.POST : Methods.GET;
        if (slash >= 0 && !cancel) {
            HttpExchanges.sendError(exchange, StatusCodes.NOT_FOUND, "no such path");
        } else if (!exchange.getRequestMethod().equals(method)) {
            HttpExchanges.sendError(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use " + method);
        } else if (!UserProtocol.isJobId(job)) {
            HttpExchanges.sendError(exchange, StatusCodes.NOT_FOUND, "no such job");
        } else if (cancel) {
            bodies.readBody(
                    exchange,
                    (received, body) ->
                            forward(received, PendingRequests.Kind.CHANGE, id -> new Input.CancelJob(id, job)));
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    FatalErrors.guard(() ->
                            forward(exchange, PendingRequests.Kind.QUERY, id -> new Input.GetJobStatus(id, job))));
        }
    }

    /** Passes a request to the core, or answers with 503 if too many requests are pending. */
    private void forward(HttpServerExchange exchange, PendingRequests.Kind kind, LongFunction<Input> input) {
        if (requests.isFull()) {
            HttpExchanges.sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "too busy, try again");
            return;
        }
        long id = requests.addFromUser(exchange, kind);
        core.accept(input.apply(id));
    }
}
