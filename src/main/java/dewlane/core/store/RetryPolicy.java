package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Transaction;

/**
 * Decides when a transaction without a definite answer is sent again, and when it is given up: exponential backoff with
 * jitter, which is shorter for transactions that are exempt from the rate limit than for others.
 */
final class RetryPolicy {
    /** After this time the user who requested a transaction is assumed to have stopped waiting. */
    private static final long USER_TIMEOUT_MS = 4000;

    /**
     * Base of the backoff. The first retry waits for twice the base plus jitter, and each further one twice as long as
     * the one before it, up to {@link #MAX_BACKOFF_MS} and {@link #MAX_DOUBLINGS}.
     */
    private static final long BACKOFF_MS = 100;

    /** Base of the backoff of transactions that are exempt from the rate limit. */
    private static final long EXEMPT_BACKOFF_MS = 15;
    /** Base of the backoff of users' transactions that the store refused. */
    private static final long REFUSED_USER_BACKOFF_MS = 50;

    private static final long MAX_BACKOFF_MS = 1000;
    private static final int MAX_DOUBLINGS = 5;

    private final ControllerContext context;

    RetryPolicy(ControllerContext context) {
        this.context = context;
    }

    /**
     * Returns true if the user who requested the transaction has stopped waiting; always false if no user requested it.
     */
    boolean hasTimedOut(PendingTransaction pending) {
        return pending.isUserRequest() && context.nowMs() - pending.submittedAtMs() > USER_TIMEOUT_MS;
    }

    /** Schedules the next attempt to commit a transaction that ended with the given status, which is not definite. */
    void scheduleRetry(PendingTransaction pending, Transaction.Status status) {
        long baseMs = baseBackoffMs(pending, status);
        int doublings = Math.min(pending.retries() + 1, MAX_DOUBLINGS);
        long backoffMs = Math.min(MAX_BACKOFF_MS, baseMs << doublings);
        long jitterMs = context.random().nextInt((int) baseMs);
        pending.retryAt(context.nowMs() + backoffMs + jitterMs);
    }

    private static long baseBackoffMs(PendingTransaction pending, Transaction.Status status) {
        if (!pending.isExemptFromRateLimit()) {
            return BACKOFF_MS;
        }
        boolean refused = status != Transaction.Status.UNKNOWN;
        return refused && pending.isUserRequest() ? REFUSED_USER_BACKOFF_MS : EXEMPT_BACKOFF_MS;
    }
}
