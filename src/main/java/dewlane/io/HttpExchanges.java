package dewlane.io;

import dewlane.wire.UserProtocol;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;

/** What every request that comes in has in common: its method, its body, its answer. */
final class HttpExchanges {
    /** The most bytes that a request's body may have. */
    static final int MAX_BODY = 64 * 1024;
    /** The status that sends a worker to another controller. */
    static final int MISDIRECTED_REQUEST = 421;
    /** The error that a body names where there is none. */
    static final String NO_ERROR = "none";

    private static final String RETRY_AFTER_S = "1";

    private HttpExchanges() {}

    /** Something done with a request's whole body. */
    interface Receiver {
        void received(HttpServerExchange exchange, byte[] body);
    }

    /** Goes on only with requests of the given method. */
    static void only(HttpServerExchange exchange, HttpString method, Runnable then) {
        if (exchange.getRequestMethod().equals(method)) {
            then.run();
        } else {
            sendError(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use " + method);
        }
    }

    /** Reads the whole body, which may not be larger than what is allowed, then goes on. */
    static void receive(HttpServerExchange exchange, Receiver receiver) {
        if (exchange.getRequestContentLength() > MAX_BODY) {
            exchange.setPersistent(false);
            sendError(exchange, StatusCodes.BAD_REQUEST, "the body is over 64 KiB");
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> read.dispatch(SameThreadExecutor.INSTANCE, () -> receiver.received(read, body)),
                        (failed, cause) -> {
                            failed.setPersistent(false);
                            sendError(failed, StatusCodes.BAD_REQUEST, "the body is over 64 KiB or broke off");
                        });
    }

    /** Answers with an error, once. */
    static void sendError(HttpServerExchange exchange, int status, String reason) {
        send(exchange, status, UserProtocol.error(reason));
    }

    /** Answers, once. */
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
