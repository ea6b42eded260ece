package dewlane.io;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Bounds the memory of the bodies of users' requests while they arrive. A body takes its whole length as soon as it has
 * begun, and a user may stop sending at any point; without a bound, as many users as there are connections would
 * exhaust the heap. Bodies of workers and peers are not included. Used on the I/O thread only.
 */
final class BodyBudget {
    private static final Logger LOG = LoggerFactory.getLogger(BodyBudget.class);
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final int maxBytes;
    private final long receiveTimeoutMs;
    private int reservedBytes;
    private long refusedRequests;
    private long loggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    /**
     * Creates a budget.
     *
     * @param maxBytes the sum of the bodies that may arrive at the same time
     * @param receiveTimeoutMs the time after which the connection of a body that has not arrived is closed
     */
    BodyBudget(int maxBytes, long receiveTimeoutMs) {
        this.maxBytes = maxBytes;
        this.receiveTimeoutMs = receiveTimeoutMs;
    }

    /**
     * Reads the whole body as {@link HttpExchanges#readBody} does, or answers with 503 if the bodies that are arriving
     * leave no room for it.
     */
    void readBody(HttpServerExchange exchange, HttpExchanges.BodyHandler handler) {
        int bytes = expectedBytes(exchange);
        if (reservedBytes + bytes > maxBytes) {
            refuse(exchange);
            return;
        }
        Reservation reservation = new Reservation(exchange, bytes);
        HttpExchanges.readBody(exchange, (received, body) -> {
            reservation.release();
            handler.onBody(received, body);
        });
    }

    /** Returns the most that the body may take; the length of a chunked body is not known in advance. */
    private static int expectedBytes(HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return 0;
        }
        long length = exchange.getRequestContentLength();
        return length < 0 ? HttpExchanges.MAX_BODY_BYTES : (int) Math.min(length, HttpExchanges.MAX_BODY_BYTES);
    }

    private void refuse(HttpServerExchange exchange) {
        refusedRequests++;
        if (System.nanoTime() - loggedAtNanos >= LOG_INTERVAL_NANOS) {
            loggedAtNanos = System.nanoTime();
            LOG.warn("a request is refused: bodies of {} bytes are arriving from users", reservedBytes);
        }
        exchange.setPersistent(false);
        HttpExchanges.sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "too busy, try again");
    }

    /** Returns the number of requests refused since the start. */
    long refusedRequests() {
        return refusedRequests;
    }

    /** The part of the budget that one body takes until it has arrived, its exchange has ended or its time is up. */
    private final class Reservation {
        private final int bytes;
        private final XnioExecutor.Key timeout;
        private boolean released;

        Reservation(HttpServerExchange exchange, int bytes) {
            this.bytes = bytes;
            reservedBytes += bytes;
            timeout = exchange.getIoThread()
                    .executeAfter(
                            FatalErrors.guard(() -> onTimeout(exchange)), receiveTimeoutMs, TimeUnit.MILLISECONDS);
            exchange.addExchangeCompleteListener((completed, next) -> {
                release();
                next.proceed();
            });
        }

        private void onTimeout(HttpServerExchange exchange) {
            release();
            IoUtils.safeClose(exchange.getConnection());
        }

        void release() {
            if (!released) {
                released = true;
                reservedBytes -= bytes;
                timeout.remove();
            }
        }
    }
}
