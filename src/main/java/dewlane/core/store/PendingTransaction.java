package dewlane.core.store;

import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import java.util.Comparator;

/** A transaction of the {@link TransactionQueue} without a definite answer so far. */
final class PendingTransaction {
    /** The order in which transactions are sent: by priority, and within one as they were submitted. */
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

    /** Steady time at which the transaction was queued first. */
    long submittedAtMs() {
        return submittedAtMs;
    }

    /** True if a user waits for the answer, who gives up after a while. */
    boolean isUserRequest() {
        return priority == TransactionPriority.USER || priority == TransactionPriority.SAFETY;
    }

    /** True for those few that are sent whether or not the write rate has room for them. */
    boolean isExemptFromRate() {
        return priority.compareTo(TransactionPriority.USER) <= 0;
    }

    /** How often the transaction has been queued again. */
    int retries() {
        return retries;
    }

    /** The transaction is queued again, to be sent no earlier than the given steady time. */
    void retryAt(long atMs) {
        retries++;
        notBeforeMs = atMs;
    }

    /** True if the transaction may be sent at the given steady time. */
    boolean isDue(long nowMs) {
        return notBeforeMs <= nowMs;
    }
}
