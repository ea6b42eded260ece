package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;

/**
 * Sends the writes about jobs. Per job at most one is in flight; the next is built once it was answered and the replica
 * has reached the revision of the answer.
 */
public final class JobTransactions {
    /** How long a job rests after a write about it was called invalid. */
    private static final long INVALID_PAUSE_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final TransactionQueue transactions;
    private final QuotaEnforcer quota;
    private final ControllerCounters counters;

    /** Sends writes through the queue, on condition of what the replica shows. */
    public JobTransactions(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            TransactionQueue transactions,
            QuotaEnforcer quota,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.transactions = transactions;
        this.quota = quota;
        this.counters = counters;
    }

    /** Takes back what was counted for launches whose write was refused. */
    void reconcileLaunches() {
        machines.progress().reconcile();
    }

    /**
     * True if a write about the job may be built: none is in flight, the job can be read, and the write could be sent.
     */
    boolean isReady(JobEntry job) {
        JobProgress progress = machines.progress().getOrCreate(job.id());
        return !progress.isWriteBlocked(replica.revision(), context.nowMs())
                && !replica.isUnreadable(job.id())
                && transactions.hasCapacity(TransactionPriority.OUTCOME);
    }

    /** Begins an empty write about the job; a launch of a serialized team needs a write and a precondition more. */
    JobUpdate begin(JobEntry job) {
        Settings settings = context.settings();
        int reserved = quota.hasSerializedLimit(job.job()) ? 1 : 0;
        return new JobUpdate(
                job,
                machines.progress().getOrCreate(job.id()),
                settings.maxTransactionWrites() - reserved,
                settings.maxTransactionPreconditions() - reserved);
    }

    /** Sends the slices and launches of the update. */
    void submit(JobUpdate update) {
        Transaction.Builder transaction = new Transaction.Builder();
        update.addTo(transaction, replica.partitionMapRevision());
        if (update.hasLaunches()) {
            quota.addPrecondition(transaction, update.job().job());
        }
        submit(update, transaction);
    }

    /** Sends a transaction about the update's job, whose slices and launches are in it as far as they are to be. */
    void submit(JobUpdate update, Transaction.Builder transaction) {
        // The job's record may be deleted before the answer comes.
        Job job = update.job().job();
        JobProgress progress = update.progress();
        progress.beginWrite();
        update.changedSlices().forEach(slice -> progress.closeBatch(slice.number()));
        TransactionPriority priority = update.hasLaunches() ? TransactionPriority.LAUNCH : TransactionPriority.OUTCOME;
        transactions.submit(
                priority, transaction.build(), (status, revision) -> onCompleted(update, job, status, revision));
    }

    private void onCompleted(JobUpdate update, Job job, Transaction.Status status, long revision) {
        JobProgress progress = update.progress();
        progress.completeWrite(revision);
        if (status == Transaction.Status.COMMITTED) {
            counters.add(Counter.TASKS_LAUNCHED, update.launchCount());
        } else if (status == Transaction.Status.INVALID) {
            progress.blockWritesUntil(context.nowMs() + INVALID_PAUSE_MS);
        }
        if (update.hasLaunches()) {
            quota.onLaunchCompleted(job, revision);
        }
    }
}
