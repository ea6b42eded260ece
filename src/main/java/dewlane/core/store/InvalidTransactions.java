package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSizer;

/**
 * Counts and logs the transactions that the store rejected as invalid, and detects from them that the reduced size
 * limit of values is in force.
 */
final class InvalidTransactions {
    private final ControllerContext context;
    private final ControllerCounters counters;
    private final ValueSizer sizer;
    private boolean reducedValueLimitDetected;

    InvalidTransactions(ControllerContext context, ControllerCounters counters, ValueSizer sizer) {
        this.context = context;
        this.counters = counters;
        this.sizer = sizer;
    }

    /**
     * Returns true once a transaction was invalid whose largest value exceeds the reduced size limit. Such a value is
     * within the initial limit, which is therefore no longer in force.
     */
    boolean isReducedValueLimitDetected() {
        return reducedValueLimitDetected;
    }

    /**
     * Records that the store rejected the transaction as invalid. It is not sent again; its writer builds another one.
     * A transaction that attaches a key to a lease shows nothing about sizes, as the lease may have expired.
     */
    void record(Transaction transaction) {
        counters.increment(Counter.INVALID_TRANSACTIONS);
        if (transaction.writes().stream().anyMatch(Transaction.Write::hasLease)) {
            return;
        }
        String largestKey = null;
        int largestBytes = 0;
        for (Transaction.Write write : transaction.writes()) {
            int bytes = write.value() == null ? 0 : sizer.bytes(write.value());
            if (largestKey == null || bytes > largestBytes) {
                largestKey = write.key();
                largestBytes = bytes;
            }
        }
        reducedValueLimitDetected |= largestBytes > context.settings().maxValueBytes();
        context.info("the store rejected a transaction of "
                + transaction.writes().size() + " writes as invalid; its largest value, of " + largestKey + ", has "
                + largestBytes + " bytes");
    }
}
