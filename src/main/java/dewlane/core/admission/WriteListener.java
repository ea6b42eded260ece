package dewlane.core.admission;

import dewlane.core.schema.Transaction;
import dewlane.core.store.TransactionQueue;

/** Learns of a write for a user that it was not committed. */
interface WriteListener {
    /** A precondition did not hold, so nothing was written. */
    void conflict();

    /** The store did not execute the write, or did not say so. */
    void unavailable();

    /** Calls the callback once the write is committed, or else one method of the listener. */
    static TransactionQueue.Listener reportingTo(WriteListener listener, Runnable onCommitted) {
        return (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                onCommitted.run();
            } else if (status == Transaction.Status.CONFLICT) {
                listener.conflict();
            } else {
                listener.unavailable();
            }
        };
    }
}
