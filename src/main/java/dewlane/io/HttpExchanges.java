package dewlane.io;

import dewlane.wire.UserProtocol;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;

/** What every request that comes in has in common: its method, its body, its answer. */
final class HttpExchanges {
    static final int MAX_BODY = 64 * 1024;

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
            send(exchange, 405, UserProtocol.error("use " + method));
        }
    }

    /** Reads the whole body, which may not be larger than what is allowed, then goes on. */
    static void receive(HttpServerExchange exchange, Receiver receiver) {
        if (exchange.getRequestContentLength() > MAX_BODY) {
            exchange.setPersistent(false);
            send(exchange, 400, UserProtocol.error("the body is over 64 KiB"));
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> e.dispatch(SameThreadExecutor.INSTANCE, () -> receiver.received(e, body)),
                        (e, bad) -> {
                            e.setPersistent(false);
                            send(e, 400, UserProtocol.error("the body is over 64 KiB or broke off"));
                        });
    }

    /** Answers, once. */
    static void send(HttpServerExchange exchange, int status, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (status == 503 && !exchange.getResponseHeaders().contains(Headers.RETRY_AFTER)) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
