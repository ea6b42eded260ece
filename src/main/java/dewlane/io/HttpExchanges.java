package dewlane.io;

import dewlane.wire.UserProtocol;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;

/** Checks the methods of inbound requests, reads their bodies, and sends answers. */
final class HttpExchanges {
    /** The maximum size of a request's body. */
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** The status that redirects a worker to another controller. */
    static final int MISDIRECTED_REQUEST = 421;
    /** The error text of an answer without an error. */
    static final String NO_ERROR = "none";

    private static final String RETRY_AFTER_S = "1";

    private HttpExchanges() {}

    /** Called with the whole body of a request. */
    interface BodyHandler {
        void onBody(HttpServerExchange exchange, byte[] body);
    }

    /** Runs {@code then} if the request has the given method, and answers with 405 otherwise. */
    static void requireMethod(HttpServerExchange exchange, HttpString method, Runnable then) {
        if (exchange.getRequestMethod().equals(method)) {
            then.run();
        } else {
            sendError(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use " + method);
        }
    }

    /**
     * Reads the whole body and passes it to the handler; a body that is too large or incomplete is answered with 400.
     */
    static void readBody(HttpServerExchange exchange, BodyHandler handler) {
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            sendError(exchange, StatusCodes.BAD_REQUEST, "the body is over 64 KiB");
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> read.dispatch(
                                SameThreadExecutor.INSTANCE, FatalErrors.guard(() -> handler.onBody(read, body))),
                        (failed, cause) -> {
                            failed.setPersistent(false);
                            sendError(failed, StatusCodes.BAD_REQUEST, "the body is over 64 KiB or broke off");
                        });
    }

    /** Answers with an error, unless an answer has been started. */
    static void sendError(HttpServerExchange exchange, int status, String reason) {
        send(exchange, status, UserProtocol.error(reason));
    }

    /** Sends an answer, unless one has been started. */
    static void send(HttpServerExchange exchange, int status, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (status == StatusCodes.SERVICE_UNAVAILABLE
                && !exchange.getResponseHeaders().contains(Headers.RETRY_AFTER)) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_S);
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
