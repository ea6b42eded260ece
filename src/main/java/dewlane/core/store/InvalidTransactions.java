package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSizer;

/** Counts and logs the transactions that the store called invalid, and concludes which limits are in force. */
final class InvalidTransactions {
    private final ControllerContext context;
    private final ControllerCounters counters;
    private final ValueSizer sizer;
    private boolean sizeRejected;

    InvalidTransactions(ControllerContext context, ControllerCounters counters, ValueSizer sizer) {
        this.context = context;
        this.counters = counters;
        this.sizer = sizer;
    }

    /** True once a value larger than the coming limits, though within the present ones, was called invalid. */
    boolean wasSizeRejected() {
        return sizeRejected;
    }

    /**
     * The store called the transaction invalid. It is not sent again as it is: its writer makes another one. One that
     * attaches a key to a lease proves nothing about sizes, as the lease may have expired in the meantime.
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
        sizeRejected |= largestBytes > context.settings().maxValueBytes();
        context.info("the store rejected a transaction of "
                + transaction.writes().size() + " writes as invalid; its largest value, of " + largestKey + ", has "
                + largestBytes + " bytes");
    }
}
