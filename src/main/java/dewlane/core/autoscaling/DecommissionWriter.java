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

/** Writes the leader's changes of decommission records. At most one write of a record is in flight. */
public final class DecommissionWriter {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    /** Keys of records with a write in flight. */
    private final Set<String> inFlight = new HashSet<>();

    /** Creates a writer that submits to the queue, on condition that records have the revision in the replica. */
    public DecommissionWriter(ControllerContext context, StoreReplica replica, TransactionQueue transactions) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
    }

    /** Returns true if the replica holds a record of the machine. */
    boolean isDecommissioned(String machine) {
        return replica.isDecommissioned(machine);
    }

    /** Writes the state of a machine, unless that is its state already or a record of several machines includes it. */
    void decommission(String machine, DecommissionState state, String reason) {
        DecommissionIndex.Entry existing = replica.decommission(machine);
        if (existing == null) {
            write(StoreKeys.decommission(machine), 0, new DecommissionRecord(state, reason, List.of()));
        } else if (existing.record().state() != state
                && existing.record().machines().isEmpty()) {
            update(existing, state, reason);
        }
    }

    /** Changes the state of the machines of a record. */
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

    /** Replaces a record that was stored under a larger size limit by several, as many as fit into a transaction. */
    private void updateOversized(
            DecommissionIndex.Entry entry, DecommissionState state, String reason, List<List<String>> batches) {
        Transaction.Builder transaction = new Transaction.Builder().require(entry.key(), entry.revision());
        int count = Math.min(batches.size(), context.settings().maxTransactionWrites());
        for (int i = 0; i < count; i++) {
            String key = i == 0 ? entry.key() : entry.key() + "-" + i;
            if (i > 0) {
                transaction.require(key, 0);
            }
            // Machines that do not fit into the transaction are decommissioned one by one by their partition owners.
            transaction.put(key, new DecommissionRecord(state, reason, batches.get(i)));
        }
        submit(entry.key(), TransactionPriority.OUTCOME, transaction, () -> {});
    }

    private void write(String key, long revision, DecommissionRecord record) {
        Transaction.Builder transaction =
                new Transaction.Builder().require(key, revision).put(key, record);
        submit(key, TransactionPriority.OUTCOME, transaction, () -> {});
    }

    /** Deletes a record. The callback is run when the transaction has completed, whatever its outcome. */
    void delete(DecommissionIndex.Entry entry, Runnable onCompleted) {
        Transaction.Builder transaction =
                new Transaction.Builder().require(entry.key(), entry.revision()).delete(entry.key());
        submit(entry.key(), TransactionPriority.LATER, transaction, onCompleted);
    }

    /** Submits a write of the record with the key, unless one is in flight. */
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
