package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.job.DependencyTracker;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;

/** Ends jobs that are complete or cancelled, and propagates a cancellation from a job to those that depend on it. */
public final class JobFinisher {
    private final ControllerContext context;
    private final PartitionOwnership ownership;
    private final DependencyTracker dependencies;
    private final JobTransactions transactions;
    private final ValueSizer sizer;

    /** Creates a finisher; the sizer keeps records of cancelled jobs within the size limit of a value. */
    public JobFinisher(
            ControllerContext context,
            PartitionOwnership ownership,
            DependencyTracker dependencies,
            JobTransactions transactions,
            ValueSizer sizer) {
        this.context = context;
        this.ownership = ownership;
        this.dependencies = dependencies;
        this.transactions = transactions;
        this.sizer = sizer;
    }

    /** Returns true if the job is cancelled through one of its dependencies, and this is not durable yet. */
    boolean isCancelledByDependency(JobEntry job) {
        return !job.isCancelled() && dependencies.isCancelled(job);
    }

    /** Returns true if making the cancellation of a job durable is left to another controller. */
    boolean isCancellationLeftToOtherController(JobEntry job) {
        return !isResponsibleFor(job);
    }

    /** Returns true if ending the given finished job is left to another controller. */
    boolean isLeftToOtherController(JobUpdate update) {
        return update.slicesWithOutcomes().isEmpty() && !isResponsibleFor(update.job());
    }

    /**
     * Returns true if it is up to this controller to end the job. Where several controllers wrote the last outcomes,
     * only the owner of the job's key ends the job, to avoid conflicting transactions. A job with more slices than
     * {@link Settings#maxSlicesPerJob()} may be ended by any controller.
     */
    private boolean isResponsibleFor(JobEntry job) {
        return ownership.ownsJob(job.id())
                || job.slices().size() > context.settings().maxSlicesPerJob();
    }

    /** Returns true if the given finished job can be ended by one transaction now. */
    boolean canFinish(JobUpdate update) {
        if (update.slicesWithOutcomes().size() >= context.settings().maxTransactionPreconditions()) {
            return false;
        }
        // A cancellation is propagated before the record is deleted, because dependents look it up there as long as the
        // record exists.
        JobEntry job = update.job();
        return !job.isCancelled() || !dependencies.hasUncancelledDependents(job.id());
    }

    /**
     * Ends a job: one transaction writes its result and deletes its record. Everything that proves the end is durable
     * or among the preconditions, and cannot change later: done marks are never removed, and nothing is launched after
     * a cancellation. Slices that do not fit into the transaction are left to garbage collection.
     */
    void finish(JobUpdate update) {
        JobEntry job = update.job();
        Transaction.Builder transaction = new Transaction.Builder().require(StoreKeys.job(job.id()), job.revision());
        update.slicesWithOutcomes().forEach(slice -> transaction.require(slice.key(), slice.revision()));
        if (!job.isCancelled()) {
            transaction.put(StoreKeys.jobResult(job.id()), new StoredValue.JobResult(false, context.wallClockMs()));
        }
        transaction.delete(StoreKeys.job(job.id()));
        for (SliceEntry slice : job.slices()) {
            if (slice.revision() != 0 && hasSpace(transaction)) {
                transaction.require(slice.key(), slice.revision()).delete(slice.key());
            }
        }
        transactions.submit(update, transaction);
    }

    private boolean hasSpace(Transaction.Builder transaction) {
        Settings settings = context.settings();
        return transaction.writeCount() < settings.maxTransactionWrites()
                && transaction.preconditionCount() < settings.maxTransactionPreconditions();
    }

    /**
     * Makes a cancellation durable that was propagated from a dependency of the job. No task of the job was ever
     * started, so its result is written at the same time.
     */
    void propagateCancellation(JobUpdate update) {
        JobEntry job = update.job();
        String key = StoreKeys.job(job.id());
        StoredValue.JobResult result = new StoredValue.JobResult(true, context.wallClockMs());
        Transaction.Builder transaction = new Transaction.Builder().require(key, job.revision());
        transaction.put(StoreKeys.jobResult(job.id()), result);
        if (job.liveAttemptCount() == 0 && !dependencies.hasUncancelledDependents(job.id())) {
            transaction.delete(key);
        } else {
            transaction.put(key, cancelledRecord(job));
        }
        transactions.submit(update, transaction);
    }

    private JobRecord cancelledRecord(JobEntry job) {
        int maxBytes = context.settings().maxValueBytes();
        return job.record().asCancelled(context.wallClockMs(), sizer, maxBytes);
    }
}
