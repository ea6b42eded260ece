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
 * What version 0.1 makes of the state service: it refuses keys that it does not know, drops fields that it does not
 * know, and so loses them when it rewrites a value.
 */
final class Version01View {
    private Version01View() {}

    /** A message as that version reads it. */
    static Input read(Input input) {
        if (input instanceof Input.StateListed in) {
            List<Input.Row> rows = in.rows().stream()
                    .map(row -> new Input.Row(row.key(), read(row.key(), row.value()), row.version()))
                    .toList();
            return new Input.StateListed(rows, in.revision(), in.latest());
        }
        if (input instanceof Input.Changes in) {
            List<Input.Change> changes = in.changes().stream()
                    .map(c -> new Input.Change(c.key(), read(c.key(), c.value()), c.version()))
                    .toList();
            return new Input.Changes(changes, in.revision());
        }
        return input;
    }

    private static Value read(String key, Value value) {
        if (!Keys.known(key)) {
            throw new AssertionError("version 0.1 stops at the key " + key);
        }
        return known(value);
    }

    /** A transaction as that version writes it. */
    static Transaction written(Transaction txn) {
        List<Transaction.Write> writes = txn.apply().stream()
                .map(w -> new Transaction.Write(w.key(), known(w.value()), w.lease()))
                .toList();
        return new Transaction(txn.when(), writes);
    }

    private static Value known(Value value) {
        if (value instanceof Value.JobRecord v) {
            Job job = v.job().withAwaits(List.of());
            return new Value.JobRecord(job, v.deals(), v.abortedMs());
        }
        if (value instanceof Value.Presence v) {
            return new Value.Presence(v.incarnation(), StoredFormat.FIRST);
        }
        if (value instanceof Value.Slice v) {
            return new Value.Slice(
                    v.owner(), v.first(), v.count(), v.launches(), v.done(), v.attempts(), UnknownFields.NONE);
        }
        if (value instanceof Value.ClusterMap v) {
            return new Value.ClusterMap(v.epoch(), v.members(), v.moved(), v.loans());
        }
        return value;
    }
}
