package dewlane.core.scheduling;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.HashMap;
import java.util.Map;

/**
 * Deletes what is left of jobs that are over. A job with many slices ends by one transaction that removes its record;
 * slices that do not fit into it are deleted afterwards, by whoever is there then.
 */
public final class SliceGarbageCollector {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    /** Jobs with a deletion under way, or whose answer the replica has not reached, and the revision of that. */
    private final Map<String, Long> settledAt = new HashMap<>();

    public SliceGarbageCollector(ControllerContext context, StoreReplica replica, TransactionQueue transactions) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
    }

    /** Deletes slices of this controller's share of such jobs, as far as the rate of changes allows. */
    void collect() {
        settledAt.values().removeIf(revision -> revision <= replica.revision());
        for (JobEntry job : replica.endedJobsWithSlices()) {
            if (!transactions.hasCapacity(TransactionPriority.LATER)) {
                return;
            }
            boolean mine = context.settings()
                    .controllerName()
                    .equals(Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(job.id())));
            if (mine && !settledAt.containsKey(job.id()) && !replica.isUnreadable(job.id())) {
                delete(job);
            }
        }
    }

    /** On condition that the job has no record: without one, nothing of it can be launched or become undone. */
    private void delete(JobEntry job) {
        Transaction.Builder transaction = new Transaction.Builder().require(StoreKeys.job(job.id()), 0);
        for (SliceEntry slice : job.slices()) {
            if (transaction.writeCount() < context.settings().maxTransactionWrites()) {
                transaction.require(slice.key(), slice.revision()).delete(slice.key());
            }
        }
        settledAt.put(job.id(), Long.MAX_VALUE);
        transactions.submit(
                TransactionPriority.LATER,
                transaction.build(),
                (status, revision) -> settledAt.put(job.id(), revision));
    }
}
