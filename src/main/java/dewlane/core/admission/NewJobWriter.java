package dewlane.core.admission;

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

/** Makes accepted jobs durable, on condition that no job with the same id was accepted before. */
public final class NewJobWriter {
    /** Learns by exactly one call how a write ended; after a conflict a job with its id was accepted before. */
    interface Listener extends WriteListener {
        /** The job is durably accepted, in the given condition. */
        void accepted(JobCondition condition);

        /** The job's record does not fit into a stored value; nothing was written. */
        void tooLarge(int maxValueBytes);

        /** More submissions than the write rate allows; nothing was written. */
        void overloaded();
    }

    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final SliceAssigner assigner;
    private final ValueSizer sizer;

    /** Writes through the queue; the assigner chooses the owners of a job's slices. */
    public NewJobWriter(
            ControllerContext context,
            StoreReplica replica,
            TransactionQueue transactions,
            SliceAssigner assigner,
            ValueSizer sizer) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
        this.assigner = assigner;
        this.sizer = sizer;
    }

    /** Writes the record of a job that is accepted now. */
    void writePending(Job submitted, Listener listener) {
        Job job = submitted.withAcceptedAt(context.wallClockMs());
        int maxBytes = context.settings().maxValueBytes();
        JobRecord record = new JobRecord(job, assigner.assign(job), 0);
        if (sizer.bytes(record) > maxBytes) {
            record = new JobRecord(job, assigner.assignAsOneSlice(job), 0);
        }
        if (sizer.bytes(record) > maxBytes) {
            listener.tooLarge(maxBytes);
        } else if (!transactions.tryAdmitSubmission()) {
            listener.overloaded();
        } else {
            Transaction.Builder transaction = ifAbsent(job.id()).put(StoreKeys.job(job.id()), record);
            submit(transaction, listener, () -> listener.accepted(JobCondition.PENDING));
        }
    }

    /**
     * Writes a job that depends on a cancelled one. It has ended as soon as it is accepted, so only its result is
     * stored.
     */
    void writeCancelled(Job job, Listener listener) {
        if (!transactions.tryAdmitSubmission()) {
            listener.overloaded();
            return;
        }
        JobResult result = new JobResult(true, context.wallClockMs());
        Transaction.Builder transaction = ifAbsent(job.id()).put(StoreKeys.jobResult(job.id()), result);
        submit(transaction, listener, () -> {
            context.info("job " + job.id() + " is accepted as cancelled, since a dependency is cancelled");
            replica.cacheResult(job.id(), result);
            listener.accepted(JobCondition.CANCELLED);
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
