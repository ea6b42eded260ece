package dewlane.sim;

import dewlane.core.Input;
import dewlane.core.Job;
import dewlane.core.Keys;
import dewlane.core.StoredFormat;
import dewlane.core.Transaction;
import dewlane.core.UnknownFields;
import dewlane.core.Value;
import java.util.List;

/**
 * Stored data as version 0.1 sees it: that version refuses keys that it does not know, drops fields that it does not
 * know, and so loses them when it rewrites a value.
 */
final class Version01View {
    private Version01View() {}

    /** An input as that version reads it. */
    static Input read(Input input) {
        if (input instanceof Input.StateListed listed) {
            List<Input.Row> rows = listed.rows().stream()
                    .map(row -> new Input.Row(row.key(), read(row.key(), row.value()), row.version()))
                    .toList();
            return new Input.StateListed(rows, listed.revision(), listed.latest());
        }
        if (input instanceof Input.Changes changes) {
            List<Input.Change> read = changes.changes().stream()
                    .map(change -> new Input.Change(change.key(), read(change.key(), change.value()), change.version()))
                    .toList();
            return new Input.Changes(read, changes.revision());
        }
        return input;
    }

    private static Value read(String key, Value value) {
        if (!Keys.known(key)) {
            throw new AssertionError("version 0.1 stops at the key " + key);
        }
        return withoutNewFields(value);
    }

    /** A transaction as that version writes it. */
    static Transaction written(Transaction transaction) {
        List<Transaction.Write> writes = transaction.apply().stream()
                .map(write -> new Transaction.Write(write.key(), withoutNewFields(write.value()), write.lease()))
                .toList();
        return new Transaction(transaction.when(), writes);
    }

    private static Value withoutNewFields(Value value) {
        if (value instanceof Value.JobRecord record) {
            Job job = record.job().withAwaits(List.of());
            return new Value.JobRecord(job, record.deals(), record.abortedMs());
        }
        if (value instanceof Value.Presence presence) {
            return new Value.Presence(presence.incarnation(), StoredFormat.FIRST);
        }
        if (value instanceof Value.Slice slice) {
            return new Value.Slice(
                    slice.owner(),
                    slice.first(),
                    slice.count(),
                    slice.launches(),
                    slice.done(),
                    slice.attempts(),
                    UnknownFields.NONE);
        }
        if (value instanceof Value.ClusterMap map) {
            return new Value.ClusterMap(map.epoch(), map.members(), map.moved(), map.loans());
        }
        return value;
    }
}
