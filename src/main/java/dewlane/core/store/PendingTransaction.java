package dewlane.core.store;

import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import java.util.Comparator;

/** A transaction of the {@link TransactionQueue} that has no definite answer yet. */
final class PendingTransaction {
    /** The order in which transactions are sent: by priority, and in order of submission within a priority. */
    static final Comparator<PendingTransaction> SENDING_ORDER =
            Comparator.<PendingTransaction, TransactionPriority>comparing(pending -> pending.priority)
                    .thenComparingLong(pending -> pending.id);

    private final long id;
    private final TransactionPriority priority;
    private final Transaction transaction;
    private final TransactionQueue.Listener listener;
    private final long submittedAtMs;
    private long notBeforeMs;
    private int retries;

    PendingTransaction(
            long id,
            TransactionPriority priority,
            Transaction transaction,
            TransactionQueue.Listener listener,
            long submittedAtMs) {
        this.id = id;
        this.priority = priority;
        this.transaction = transaction;
        this.listener = listener;
        this.submittedAtMs = submittedAtMs;
    }

    long id() {
        return id;
    }

    TransactionPriority priority() {
        return priority;
    }

    Transaction transaction() {
        return transaction;
    }

    TransactionQueue.Listener listener() {
        return listener;
    }

    /** Returns the monotonic time at which the transaction was submitted. */
    long submittedAtMs() {
        return submittedAtMs;
    }

    /** Returns true if a user waits for the answer, who stops waiting after a time. */
    boolean isUserRequest() {
        return priority == TransactionPriority.USER || priority == TransactionPriority.SAFETY;
    }

    /** Returns true if the transaction is sent even if the write rate is used up; such transactions are few. */
    boolean isExemptFromRateLimit() {
        return priority.compareTo(TransactionPriority.USER) <= 0;
    }

    /** Returns how often the transaction has been queued again. */
    int retries() {
        return retries;
    }

    /** Schedules a retry no earlier than the given monotonic time. */
    void retryAt(long atMs) {
        retries++;
        notBeforeMs = atMs;
    }

    /** Returns true if the transaction may be sent at the given monotonic time. */
    boolean isDue(long nowMs) {
        return notBeforeMs <= nowMs;
    }
}
