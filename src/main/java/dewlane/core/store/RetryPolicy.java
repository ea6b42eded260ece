package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Transaction;

/**
 * When a transaction without a definite answer is sent again, and when it is given up on: exponential backoff with
 * jitter, short for what users wait for, longer for the rest.
 */
final class RetryPolicy {
    /** A user has stopped waiting after so long. */
    private static final long USER_TIMEOUT_MS = 4000;

    /** Backoffs before the first retry, doubled with each further one. */
    private static final long BACKOFF_MS = 100;

    private static final long USER_BACKOFF_MS = 15;
    private static final long REFUSED_USER_BACKOFF_MS = 50;

    private static final long MAX_BACKOFF_MS = 1000;
    private static final int MAX_DOUBLINGS = 5;

    private final ControllerContext context;

    RetryPolicy(ControllerContext context) {
        this.context = context;
    }

    /** True if whoever asked for the transaction has stopped waiting. Only users ever do. */
    boolean isAbandoned(PendingTransaction pending) {
        return pending.isUserRequest() && context.nowMs() - pending.submittedAtMs() > USER_TIMEOUT_MS;
    }

    /** Schedules the next try of a transaction that ended with the given indefinite status. */
    void scheduleRetry(PendingTransaction pending, Transaction.Status status) {
        long baseMs = baseBackoffMs(pending, status);
        int doublings = Math.min(pending.retries() + 1, MAX_DOUBLINGS);
        long backoffMs = Math.min(MAX_BACKOFF_MS, baseMs << doublings);
        long jitterMs = context.random().nextInt((int) baseMs);
        pending.retryAt(context.nowMs() + backoffMs + jitterMs);
    }

    private static long baseBackoffMs(PendingTransaction pending, Transaction.Status status) {
        if (!pending.isExemptFromRate()) {
            return BACKOFF_MS;
        }
        boolean refused = status != Transaction.Status.UNKNOWN;
        return refused && pending.isUserRequest() ? REFUSED_USER_BACKOFF_MS : USER_BACKOFF_MS;
    }
}
