package dewlane.core.membership;

import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import dewlane.core.store.UnresolvedWriteTracker;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes partition maps one at a time, each with the precondition that the map in the replica is still the current one.
 * The next map is written only once the replica shows the outcome of the last write.
 */
final class PartitionMapWriter {
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final UnresolvedWriteTracker lastWrite = new UnresolvedWriteTracker();

    PartitionMapWriter(StoreReplica replica, TransactionQueue transactions) {
        this.replica = replica;
        this.transactions = transactions;
    }

    /** Returns true if a map may be written. */
    boolean isReady() {
        return !lastWrite.isUnresolved(replica.revision());
    }

    /**
     * Writes a map that includes a joining controller, and the controller's presence, which is attached to its lease.
     */
    void writeJoin(
            PartitionMap map,
            String controller,
            Presence presence,
            long lease,
            Consumer<Transaction.Status> onCompleted) {
        submit(builder(map).putWithLease(StoreKeys.presence(controller), presence, lease), onCompleted);
    }

    /**
     * Writes a map without the evicted members, with the precondition that none of them has a presence: their leases
     * are still expired.
     */
    void writeEviction(PartitionMap map, List<Member> evicted, Consumer<Transaction.Status> onCompleted) {
        Transaction.Builder transaction = builder(map);
        evicted.forEach(member -> transaction.require(StoreKeys.presence(member.name()), 0));
        submit(transaction, onCompleted);
    }

    /** Writes a map with the same members. */
    void write(PartitionMap map, Consumer<Transaction.Status> onCompleted) {
        submit(builder(map), onCompleted);
    }

    private Transaction.Builder builder(PartitionMap map) {
        return new Transaction.Builder()
                .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                .put(StoreKeys.PARTITION_MAP, map);
    }

    private void submit(Transaction.Builder transaction, Consumer<Transaction.Status> onCompleted) {
        lastWrite.onSubmitted();
        transactions.submit(TransactionPriority.MEMBERSHIP, transaction.build(), (status, revision) -> {
            lastWrite.onAnswered(revision);
            onCompleted.accept(status);
        });
    }
}
