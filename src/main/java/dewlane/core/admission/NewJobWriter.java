package dewlane.core.admission;

import dewlane.core.job.JobMemory;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import dewlane.core.scheduling.SliceAssigner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;

/** Writes new jobs to the store, on condition that no job with the same id was accepted before. */
public final class NewJobWriter {
    /** Receives exactly one call with the outcome of a write. A conflict means that the id is already taken. */
    interface Listener extends WriteListener {
        /** Called when the job is durably accepted, in the given condition. */
        void onAccepted(JobCondition condition);

        /** Called if the job's record does not fit into a stored value. Nothing was written. */
        void onTooLarge(int maxValueBytes);

        /** Called if there are more submissions than the write rate allows. Nothing was written. */
        void onWriteRateExceeded();

        /** Called if the stored jobs leave no room for the job in the controllers' memory. Nothing was written. */
        void onMemoryExceeded();
    }

    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final SliceAssigner assigner;
    private final ValueSizer sizer;
    private final JobMemory memory;

    /**
     * Creates a writer that submits to the queue the jobs for which there is memory. The assigner splits jobs into
     * slices and selects their owners.
     */
    public NewJobWriter(
            ControllerContext context,
            StoreReplica replica,
            TransactionQueue transactions,
            SliceAssigner assigner,
            ValueSizer sizer,
            JobMemory memory) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
        this.assigner = assigner;
        this.sizer = sizer;
        this.memory = memory;
    }

    /**
     * Writes the record of a new job. If its slice assignments make the record too large for a stored value, the job is
     * assigned as a single slice.
     */
    void writePending(Job submitted, Listener listener) {
        Job job = submitted.withAcceptedAt(context.wallClockMs());
        int maxBytes = context.settings().maxValueBytes();
        JobRecord record = new JobRecord(job, assigner.assign(job), 0);
        if (sizer.bytes(record) > maxBytes) {
            record = new JobRecord(job, assigner.assignAsOneSlice(job), 0);
        }
        if (sizer.bytes(record) > maxBytes) {
            listener.onTooLarge(maxBytes);
        } else if (!memory.hasRoomFor(record)) {
            listener.onMemoryExceeded();
        } else if (!transactions.tryAdmitSubmission()) {
            listener.onWriteRateExceeded();
        } else {
            memory.onAdmitted(record);
            Transaction.Builder transaction = ifAbsent(job.id()).put(StoreKeys.job(job.id()), record);
            submit(transaction, listener, () -> listener.onAccepted(JobCondition.PENDING));
        }
    }

    /**
     * Writes a job that depends on a cancelled one. The job is cancelled as soon as it is accepted, so only its result
     * is stored.
     */
    void writeCancelled(Job job, Listener listener) {
        if (!transactions.tryAdmitSubmission()) {
            listener.onWriteRateExceeded();
            return;
        }
        JobResult result = new JobResult(true, context.wallClockMs());
        Transaction.Builder transaction = ifAbsent(job.id()).put(StoreKeys.jobResult(job.id()), result);
        submit(transaction, listener, () -> {
            context.info("job " + job.id() + " is accepted as cancelled, since a dependency is cancelled");
            replica.cacheResult(job.id(), result);
            listener.onAccepted(JobCondition.CANCELLED);
        });
    }

    private static Transaction.Builder ifAbsent(String job) {
        return new Transaction.Builder().require(StoreKeys.job(job), 0).require(StoreKeys.jobResult(job), 0);
    }

    private void submit(Transaction.Builder transaction, Listener listener, Runnable onCommitted) {
        transactions.submit(
                TransactionPriority.USER, transaction.build(), WriteListener.reportingTo(listener, onCommitted));
    }
}
