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
 * Writes partition maps, one at a time and each on condition that the map it replaces is the one in the replica. The
 * next is written only once the replica shows how the last write ended.
 */
final class PartitionMapWriter {
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final UnresolvedWriteTracker lastWrite = new UnresolvedWriteTracker();

    PartitionMapWriter(StoreReplica replica, TransactionQueue transactions) {
        this.replica = replica;
        this.transactions = transactions;
    }

    /** True if a map may be written. */
    boolean isReady() {
        return !lastWrite.isUnresolved(replica.revision());
    }

    /** Writes a map to which a controller has been added, and attaches its presence to the lease. */
    void writeJoin(
            PartitionMap map, String controller, Presence presence, long lease, Consumer<Transaction.Status> done) {
        submit(builder(map).putWithLease(StoreKeys.presence(controller), presence, lease), done);
    }

    /** Writes a map without the evicted members, on condition that they have not renewed their leases after all. */
    void writeEviction(PartitionMap map, List<Member> evicted, Consumer<Transaction.Status> done) {
        Transaction.Builder transaction = builder(map);
        evicted.forEach(member -> transaction.require(StoreKeys.presence(member.name()), 0));
        submit(transaction, done);
    }

    /** Writes a map with the same members. */
    void write(PartitionMap map, Consumer<Transaction.Status> done) {
        submit(builder(map), done);
    }

    private Transaction.Builder builder(PartitionMap map) {
        return new Transaction.Builder()
                .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                .put(StoreKeys.PARTITION_MAP, map);
    }

    private void submit(Transaction.Builder transaction, Consumer<Transaction.Status> done) {
        lastWrite.begin();
        transactions.submit(TransactionPriority.MEMBERSHIP, transaction.build(), (status, revision) -> {
            lastWrite.complete(revision);
            done.accept(status);
        });
    }
}
