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

/** Ends jobs: those whose tasks are all over, and those that are cancelled through a job on which they depend. */
public final class JobFinisher {
    private final ControllerContext context;
    private final PartitionOwnership ownership;
    private final DependencyTracker dependencies;
    private final JobTransactions transactions;
    private final ValueSizer sizer;

    /** Ends jobs by way of the given transactions, with cancelled records no larger than the sizer measures. */
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

    /** True if the job is cancelled through a job on which it depends, and this is not durable yet. */
    boolean isCancelledByDependency(JobEntry job) {
        return !job.isCancelled() && dependencies.isCancelled(job);
    }

    /** True if another controller is to end the job, which is over. */
    boolean isLeftToOthers(JobUpdate update) {
        return update.slicesWithOutcomes().isEmpty() && !isResponsibleFor(update.job());
    }

    /** Where several controllers made the last outcomes durable, one of them ends the job, so that they do not race. */
    private boolean isResponsibleFor(JobEntry job) {
        return ownership.ownsJob(job.id())
                || job.slices().size() > context.settings().maxSlicesPerJob();
    }

    /** True if the job, which is over, can be ended by one transaction now. */
    boolean canFinish(JobUpdate update) {
        if (update.slicesWithOutcomes().size() >= context.settings().maxTransactionPreconditions()) {
            return false;
        }
        // A cancellation is propagated first: dependents are looked up by the job's record as long as that exists.
        JobEntry job = update.job();
        return !job.isCancelled() || !dependencies.hasUncancelledDependents(job.id());
    }

    /**
     * Ends a job: its final state is written and its record removed by one transaction. All that this rests on is
     * durable or in the preconditions, and never becomes untrue: done marks stay, and no launch follows a cancellation.
     * Slices beyond what the transaction holds are left for garbage collection.
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
     * Makes a cancellation durable that was propagated from a job on which this one depends. The job never had a task,
     * so its end is written at once.
     */
    void propagateCancellation(JobUpdate update) {
        JobEntry job = update.job();
        if (!isResponsibleFor(job)) {
            return;
        }
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
