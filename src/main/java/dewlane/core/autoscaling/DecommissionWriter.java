package dewlane.core.autoscaling;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.UnknownFields;
import dewlane.core.store.DecommissionIndex;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Writes the leader's changes of decommission records, of each record one at a time. */
public final class DecommissionWriter {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    /** Keys of records with a write in flight. */
    private final Set<String> inFlight = new HashSet<>();

    /** Writes records through the queue, on condition of what the replica shows. */
    public DecommissionWriter(ControllerContext context, StoreReplica replica, TransactionQueue transactions) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
    }

    /** True if a record about the machine is stored. */
    boolean isDecommissioned(String machine) {
        return replica.isDecommissioned(machine);
    }

    /** Records a state of one machine; not while a record of several machines holds it. */
    void decommission(String machine, DecommissionState state, String reason) {
        DecommissionIndex.Entry known = replica.decommission(machine);
        if (known == null) {
            write(StoreKeys.decommission(machine), 0, new DecommissionRecord(state, reason, List.of()));
        } else if (known.record().state() != state && known.record().machines().isEmpty()) {
            update(known, state, reason);
        }
    }

    /** Changes the state of a record's machines. */
    void update(DecommissionIndex.Entry entry, DecommissionState state, String reason) {
        DecommissionRecord record = entry.record();
        List<List<String>> batches =
                DecommissionBatches.split(record.machines(), context.settings().maxValueBytes());
        if (batches.size() > 1) {
            updateOversized(entry, state, reason, batches);
            return;
        }
        UnknownFields unknown = record.unknown();
        write(entry.key(), entry.revision(), new DecommissionRecord(state, reason, record.machines(), unknown));
    }

    /** A record that was stored under larger limits becomes several, as many as one transaction holds. */
    private void updateOversized(
            DecommissionIndex.Entry entry, DecommissionState state, String reason, List<List<String>> batches) {
        Transaction.Builder transaction = new Transaction.Builder().require(entry.key(), entry.revision());
        int count = Math.min(batches.size(), context.settings().maxTransactionWrites());
        for (int i = 0; i < count; i++) {
            String key = i == 0 ? entry.key() : entry.key() + "-" + i;
            if (i > 0) {
                transaction.require(key, 0);
            }
            // Machines beyond what the transaction holds are decommissioned one by one, by their partitions' owners.
            transaction.put(key, new DecommissionRecord(state, reason, batches.get(i)));
        }
        submit(entry.key(), TransactionPriority.OUTCOME, transaction, () -> {});
    }

    private void write(String key, long revision, DecommissionRecord record) {
        Transaction.Builder transaction =
                new Transaction.Builder().require(key, revision).put(key, record);
        submit(key, TransactionPriority.OUTCOME, transaction, () -> {});
    }

    /** Deletes a record; the callback runs once the store has answered. */
    void delete(DecommissionIndex.Entry entry, Runnable onCompleted) {
        Transaction.Builder transaction =
                new Transaction.Builder().require(entry.key(), entry.revision()).delete(entry.key());
        submit(entry.key(), TransactionPriority.LATER, transaction, onCompleted);
    }

    /** Submits a write of the key's record, unless one is in flight. */
    private void submit(
            String key, TransactionPriority priority, Transaction.Builder transaction, Runnable onCompleted) {
        if (inFlight.add(key)) {
            transactions.submit(priority, transaction.build(), (status, revision) -> {
                inFlight.remove(key);
                onCompleted.run();
            });
        }
    }
}
