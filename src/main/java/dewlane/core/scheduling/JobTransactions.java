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
 * Sends transactions that change jobs, at most one per job at a time. The next one is built once the previous one was
 * answered and the replica has reached the revision of the answer.
 */
public final class JobTransactions {
    /** Time during which nothing is written about a job after the store called a write about it invalid. */
    private static final long INVALID_WRITE_BACKOFF_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final TransactionQueue transactions;
    private final QuotaEnforcer quota;
    private final ControllerCounters counters;

    /** Sends transactions through the queue, conditional on the state that the replica shows. */
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

    /** Stops counting launches whose write was answered but that the replica does not show. */
    void reconcileLaunches() {
        machines.progress().reconcile();
    }

    /**
     * Returns true if a transaction for the job may be built: none is in flight, all stored values of the job can be
     * read, and the transaction would be sent soon.
     */
    boolean isReady(JobEntry job) {
        JobProgress progress = machines.progress().getOrCreate(job.id());
        return !progress.isWriteBlocked(replica.revision(), context.nowMs())
                && !replica.isUnreadable(job.id())
                && transactions.hasCapacity(TransactionPriority.OUTCOME);
    }

    /**
     * Begins an empty update of the job. One write and one precondition are reserved if the team's launches are
     * serialized, as a launch then also writes the team's usage.
     */
    JobUpdate begin(JobEntry job) {
        Settings settings = context.settings();
        int reserved = quota.hasSerializedLimit(job.job()) ? 1 : 0;
        return new JobUpdate(
                job,
                machines.progress().getOrCreate(job.id()),
                settings.maxTransactionWrites() - reserved,
                settings.maxTransactionPreconditions() - reserved);
    }

    /** Sends a transaction with the slices and launches of the update. */
    void submit(JobUpdate update) {
        Transaction.Builder transaction = new Transaction.Builder();
        update.addTo(transaction, replica.partitionMapRevision());
        if (update.hasLaunches()) {
            quota.addPrecondition(transaction, update.job().job());
        }
        submit(update, transaction);
    }

    /** Sends a transaction for the update's job. The caller has added to it those slices that are to be written. */
    void submit(JobUpdate update, Transaction.Builder transaction) {
        // Kept for the answer: the job's record may be deleted by then.
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
            progress.blockWritesUntil(context.nowMs() + INVALID_WRITE_BACKOFF_MS);
        }
        if (update.hasLaunches()) {
            quota.onLaunchCompleted(job, revision);
        }
    }
}
