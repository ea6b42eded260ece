package dewlane.core.admission;

import dewlane.core.schema.Transaction;
import dewlane.core.store.TransactionQueue;

/** Receives the failure of a write that was made for a user's request. */
interface WriteListener {
    /** Called if a precondition failed, so that nothing was written. */
    void onConflict();

    /** Called if the store did not execute the write, or gave no definite answer. */
    void onUnavailable();

    /** Returns a queue listener that runs the callback if the write is committed, or else calls the listener. */
    static TransactionQueue.Listener reportingTo(WriteListener listener, Runnable onCommitted) {
        return (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                onCommitted.run();
            } else if (status == Transaction.Status.CONFLICT) {
                listener.onConflict();
            } else {
                listener.onUnavailable();
            }
        };
    }
}
