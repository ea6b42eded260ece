package dewlane.io;

import dewlane.core.message.Effect;
import dewlane.wire.UserProtocol;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;

/** Requests of users and workers that the core has not answered yet. Used on the I/O thread only. */
final class PendingRequests {
    private static final int MAX_PENDING = 500;
    private static final long MAX_LATENCY_MS = 60_000;
    private static final int LATENCY_SIGNIFICANT_DIGITS = 2;
    private static final long NANOS_PER_MS = 1_000_000;

    /** The kind of a user's request, with the time after which it is answered with 503 if the core has not answered. */
    enum Kind {
        /** A submission or a cancellation: users wait 5 s for the answer. */
        CHANGE(4500),
        /** A query for a job's status: users wait 2 s for the answer. */
        QUERY(1800);

        private final long timeoutMs;

        Kind(long timeoutMs) {
            this.timeoutMs = timeoutMs;
        }
    }

    private record StartedRequest(long id, long atNanos) {}

    private final Long2ObjectOpenHashMap<HttpServerExchange> exchanges = new Long2ObjectOpenHashMap<>();
    /** Users' requests in order of arrival. An answered request stays until its timeout, when it is dropped. */
    private final Map<Kind, Deque<StartedRequest>> started = new EnumMap<>(Kind.class);

    private final Histogram latencyMs = new Histogram(MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS);
    private long nextId = 1;

    PendingRequests() {
        for (Kind kind : Kind.values()) {
            started.put(kind, new ArrayDeque<>());
        }
    }

    /** Returns true if no further request of a user may be added now. */
    boolean isFull() {
        return exchanges.size() >= MAX_PENDING;
    }

    /** Adds a request without a timeout; returns its id. */
    long add(HttpServerExchange exchange) {
        long id = nextId++;
        exchanges.put(id, exchange);
        return id;
    }

    /** Adds a request of a user, whose latency is recorded; returns its id. */
    long addFromUser(HttpServerExchange exchange, Kind kind) {
        long id = nextId++;
        long startedAtNanos = System.nanoTime();
        exchanges.put(id, exchange);
        exchange.addExchangeCompleteListener((completed, next) -> {
            long elapsedMs = (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
            latencyMs.recordValue(Math.min(MAX_LATENCY_MS, elapsedMs));
            next.proceed();
        });
        started.get(kind).add(new StartedRequest(id, startedAtNanos));
        return id;
    }

    /** Answers a request, unless it has been answered already. */
    void answer(long id, int status, byte[] body) {
        HttpServerExchange exchange = exchanges.remove(id);
        if (exchange != null) {
            HttpExchanges.send(exchange, status, body);
        }
    }

    /** Answers a request of a user with the core's answer, unless it has been answered already. */
    void answer(Effect.AnswerUser answer) {
        HttpServerExchange exchange = exchanges.remove(answer.id());
        if (exchange == null) {
            return;
        }
        if (answer.status() == StatusCodes.SERVICE_UNAVAILABLE) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, answer.retryAfterS());
        }
        byte[] body = answer.job() != null ? UserProtocol.jobStatus(answer.job()) : UserProtocol.error(answer.reason());
        HttpExchanges.send(exchange, answer.status(), body);
    }

    /** Answers the requests whose timeout has passed with 503, shortly before users stop waiting for an answer. */
    void expire() {
        for (Kind kind : Kind.values()) {
            Deque<StartedRequest> requests = started.get(kind);
            while (!requests.isEmpty() && isExpired(requests.peek(), kind)) {
                byte[] body = UserProtocol.error("no answer in time, try again");
                answer(requests.poll().id(), StatusCodes.SERVICE_UNAVAILABLE, body);
            }
        }
    }

    private static boolean isExpired(StartedRequest request, Kind kind) {
        return System.nanoTime() - request.atNanos() > kind.timeoutMs * NANOS_PER_MS;
    }

    /** Logs the latencies of the users' requests that were answered since the last call, if there were any. */
    void logLatencies(Logger log) {
        if (latencyMs.getTotalCount() == 0) {
            return;
        }
        log.info(
                "answered {} user requests in the last minute: p50 {} ms, p99 {} ms, longest {} ms",
                latencyMs.getTotalCount(),
                latencyMs.getValueAtPercentile(50),
                latencyMs.getValueAtPercentile(99),
                latencyMs.getMaxValue());
        latencyMs.reset();
    }
}
