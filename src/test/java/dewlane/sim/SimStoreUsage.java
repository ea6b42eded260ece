package dewlane.sim;

import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.Transaction;
import dewlane.wire.StoreProtocol;
import dewlane.wire.StoredValueCodec;

/** Counts the controllers' requests and writes to the store. */
final class SimStoreUsage {
    /** Requests so far, except for watches, and those of them refused by the rate limit. */
    int requests;

    int throttledRequests;
    /** Committed writes other than those of decommission records, and committed writes of decommission records. */
    long writes;

    long decommissionWrites;
    int largestValueBytes;
    int largestTransactionBytes;

    void countRequest(boolean withinRate) {
        requests++;
        throttledRequests += withinRate ? 0 : 1;
    }

    /** Counts the writes and bytes of a committed transaction. */
    void count(Transaction transaction) {
        largestTransactionBytes =
                Math.max(largestTransactionBytes, StoreProtocol.transactionRequest(transaction).length);
        for (Transaction.Write write : transaction.writes()) {
            boolean isDecommissionRecord = write.key().startsWith(StoreKeys.DECOMMISSIONS);
            decommissionWrites += isDecommissionRecord ? 1 : 0;
            writes += isDecommissionRecord ? 0 : 1;
            if (write.value() != null) {
                largestValueBytes = Math.max(largestValueBytes, StoredValueCodec.encode(write.value()).length);
            }
        }
    }
}
