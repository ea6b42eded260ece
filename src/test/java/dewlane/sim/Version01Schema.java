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
 * Converts stored data as version 0.1 reads and writes it. That version fails on unknown keys, and ignores unknown
 * fields, so that it drops them when it rewrites a value.
 */
final class Version01Schema {
    private Version01Schema() {}

    /** Returns an input as version 0.1 reads it. */
    static Input read(Input input) {
        if (input instanceof Input.StoreListed listed) {
            List<Input.StoreRow> rows = listed.rows().stream()
                    .map(row -> new Input.StoreRow(row.key(), read(row.key(), row.value()), row.revision()))
                    .toList();
            return new Input.StoreListed(rows, listed.revision(), listed.latestRevision());
        }
        if (input instanceof Input.WatchEvents changes) {
            List<Input.KeyChange> read = changes.changes().stream()
                    .map(change ->
                            new Input.KeyChange(change.key(), read(change.key(), change.value()), change.revision()))
                    .toList();
            return new Input.WatchEvents(changes.watch(), read, changes.revision());
        }
        return input;
    }

    private static StoredValue read(String key, StoredValue value) {
        if (!StoreKeys.isKnown(key)) {
            throw new AssertionError("version 0.1 fails on the unknown key " + key);
        }
        return withoutNewFields(value);
    }

    /** Returns a transaction as version 0.1 writes it. */
    static Transaction write(Transaction transaction) {
        List<Transaction.Write> writes = transaction.writes().stream()
                .map(write -> new Transaction.Write(write.key(), withoutNewFields(write.value()), write.lease()))
                .toList();
        return new Transaction(transaction.preconditions(), writes);
    }

    private static StoredValue withoutNewFields(StoredValue value) {
        if (value instanceof StoredValue.JobRecord record) {
            Job job = record.job().withDependencies(List.of());
            return new StoredValue.JobRecord(job, record.assignments(), record.cancelledAtMs());
        }
        if (value instanceof StoredValue.Presence presence) {
            return new StoredValue.Presence(presence.incarnation(), SchemaVersion.FIRST);
        }
        if (value instanceof StoredValue.Slice slice) {
            return new StoredValue.Slice(
                    slice.owner(),
                    slice.first(),
                    slice.count(),
                    slice.launchCount(),
                    slice.done(),
                    slice.attempts(),
                    UnknownFields.NONE);
        }
        if (value instanceof StoredValue.PartitionMap map) {
            return new StoredValue.PartitionMap(
                    map.epoch(), map.members(), map.reassignedMachines(), map.quotaTransfers());
        }
        return value;
    }
}
