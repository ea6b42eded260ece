package dewlane.core.scheduling;

import dewlane.core.message.ControllerContext;
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
 * Deletes the remaining slices of ended jobs. A job is ended by one transaction that deletes its record and its slices.
 * Slices that do not fit into it are deleted later by the controller that owns the job's key at that time.
 */
public final class SliceGarbageCollector {
    /** Stands for the revision of a deletion that is in flight. */
    private static final long IN_FLIGHT = Long.MAX_VALUE;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final PartitionOwnership ownership;
    /** By job, the revision of its latest deletion, until the replica reaches it. */
    private final Map<String, Long> deletionRevisions = new HashMap<>();

    /** Creates a collector of the slices in the replica that sends deletions through the queue. */
    public SliceGarbageCollector(
            ControllerContext context,
            StoreReplica replica,
            TransactionQueue transactions,
            PartitionOwnership ownership) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
        this.ownership = ownership;
    }

    /** Deletes slices of ended jobs whose keys are in this controller's partition, as far as the write rate allows. */
    void collect() {
        deletionRevisions.values().removeIf(revision -> revision <= replica.revision());
        for (JobEntry job : replica.endedJobsWithSlices()) {
            if (!transactions.hasCapacity(TransactionPriority.LATER)) {
                return;
            }
            if (ownership.ownsJob(job.id())
                    && !deletionRevisions.containsKey(job.id())
                    && !replica.isUnreadable(job.id())) {
                deleteSlices(job);
            }
        }
    }

    /** Requires that the job has no record: then none of its tasks can be launched, and done marks are not needed. */
    private void deleteSlices(JobEntry job) {
        Transaction.Builder transaction = new Transaction.Builder().require(StoreKeys.job(job.id()), 0);
        for (SliceEntry slice : job.slices()) {
            if (transaction.writeCount() < context.settings().maxTransactionWrites()) {
                transaction.require(slice.key(), slice.revision()).delete(slice.key());
            }
        }
        deletionRevisions.put(job.id(), IN_FLIGHT);
        transactions.submit(
                TransactionPriority.LATER,
                transaction.build(),
                (status, revision) -> deletionRevisions.put(job.id(), revision));
    }
}
