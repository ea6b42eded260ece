package dewlane.sim;

import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.Transaction;
import dewlane.wire.StoreProtocol;
import dewlane.wire.StoredValueCodec;

/** Counts what controllers ask of the store. */
final class SimStoreUsage {
    /** Requests so far but watches that wait, and those refused for their rate. */
    int requests;

    int throttledRequests;
    /** Puts and deletes that were committed, but of machines' records, and those of machines' records. */
    long writes;

    long decommissionWrites;
    int largestValueBytes;
    int largestTransactionBytes;

    void countRequest(boolean withinRate) {
        requests++;
        throttledRequests += withinRate ? 0 : 1;
    }

    /** Counts a transaction that is committed. */
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
