package dewlane.core.admission;

import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;

/** Writes cancellations to the store: one transaction marks the job's record as cancelled and stores its result. */
public final class CancellationWriter {
    /**
     * Receives exactly one call with the outcome of a write. A conflict means that the record changed or is deleted.
     */
    interface Listener extends WriteListener {
        /** Called when the job is durably cancelled. */
        void onCommitted();
    }

    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final CancellationTracker cancellations;
    private final ValueSizer sizer;

    /** Creates a writer that submits to the queue and reports committed cancellations to the tracker. */
    public CancellationWriter(
            ControllerContext context,
            StoreReplica replica,
            TransactionQueue transactions,
            CancellationTracker cancellations,
            ValueSizer sizer) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
        this.cancellations = cancellations;
        this.sizer = sizer;
    }

    /** Writes the cancellation of an active job, on condition that its record has the revision in the replica. */
    void write(JobEntry entry, Listener listener) {
        String job = entry.id();
        JobResult result = new JobResult(true, context.wallClockMs());
        JobRecord cancelled = entry.record()
                .asCancelled(context.wallClockMs(), sizer, context.settings().maxValueBytes());
        Transaction transaction = new Transaction.Builder()
                .require(StoreKeys.job(job), entry.revision())
                .put(StoreKeys.job(job), cancelled)
                .put(StoreKeys.jobResult(job), result)
                .build();
        Runnable onCommitted = () -> {
            context.info("job " + job + " cancelled");
            cancellations.onCancellationCommitted(job);
            replica.cacheResult(job, result);
            listener.onCommitted();
        };
        transactions.submit(TransactionPriority.SAFETY, transaction, WriteListener.reportingTo(listener, onCommitted));
    }
}
