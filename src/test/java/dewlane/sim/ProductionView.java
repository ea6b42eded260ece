package dewlane.sim;

import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.UnknownFields;
import java.util.List;

/**
 * What version 0.1 makes of the state service: it refuses keys that it does not know, drops fields that it does not
 * know, and so loses them when it rewrites a value.
 */
final class ProductionView {
    private ProductionView() {}

    /** A message as that version reads it. */
    static Input read(Input input) {
        if (input instanceof Input.StoreListed in) {
            List<Input.StoreRow> rows = in.rows().stream()
                    .map(row -> new Input.StoreRow(row.key(), read(row.key(), row.value()), row.revision()))
                    .toList();
            return new Input.StoreListed(rows, in.revision(), in.latestRevision());
        }
        if (input instanceof Input.WatchEvents in) {
            List<Input.KeyChange> changes = in.changes().stream()
                    .map(c -> new Input.KeyChange(c.key(), read(c.key(), c.value()), c.revision()))
                    .toList();
            return new Input.WatchEvents(changes, in.revision());
        }
        return input;
    }

    private static StoredValue read(String key, StoredValue value) {
        if (!StoreKeys.isKnown(key)) {
            throw new AssertionError("version 0.1 stops at the key " + key);
        }
        return known(value);
    }

    /** A transaction as that version writes it. */
    static Transaction written(Transaction transaction) {
        List<Transaction.Write> writes = transaction.writes().stream()
                .map(w -> new Transaction.Write(w.key(), known(w.value()), w.lease()))
                .toList();
        return new Transaction(transaction.preconditions(), writes);
    }

    private static StoredValue known(StoredValue value) {
        if (value instanceof StoredValue.JobRecord v) {
            Job job = v.job().withDependencies(List.of());
            return new StoredValue.JobRecord(job, v.assignments(), v.cancelledAtMs());
        }
        if (value instanceof StoredValue.Presence v) {
            return new StoredValue.Presence(v.incarnation(), SchemaVersion.FIRST);
        }
        if (value instanceof StoredValue.Slice v) {
            return new StoredValue.Slice(
                    v.owner(), v.first(), v.count(), v.launchCount(), v.done(), v.attempts(), UnknownFields.NONE);
        }
        if (value instanceof StoredValue.PartitionMap v) {
            return new StoredValue.PartitionMap(v.epoch(), v.members(), v.reassignedMachines(), v.quotaTransfers());
        }
        return value;
    }
}
