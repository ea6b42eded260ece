package dewlane.core.store;

import dewlane.core.message.Input;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The replica's decommission records, indexed by key and by the names of the machines that they cover. */
public final class DecommissionIndex {
    /**
     * A decommission record as it is stored.
     *
     * @param key the record's key
     * @param machines the names of the machines that the record covers
     * @param record the record
     * @param revision the revision of the record's latest change
     */
    public record Entry(String key, List<String> machines, DecommissionRecord record, long revision) {}

    private final Map<String, Entry> byMachine = new LinkedHashMap<>();
    private final Map<String, Entry> byKey = new LinkedHashMap<>();

    DecommissionIndex() {}

    void clear() {
        byMachine.clear();
        byKey.clear();
    }

    /**
     * Applies a change of a record.
     *
     * @param name the last part of the key, which names the machine unless the record lists several
     * @return the new entry, or empty if the record was deleted or the change is older than the indexed record
     */
    Optional<Entry> apply(String name, Input.KeyChange change) {
        Entry previous = byKey.get(change.key());
        if (previous != null && previous.revision > change.revision()) {
            return Optional.empty();
        }
        if (previous != null) {
            byKey.remove(change.key());
            previous.machines.forEach(machine -> byMachine.remove(machine, previous));
        }
        if (change.value() == null) {
            return Optional.empty();
        }
        DecommissionRecord record = (DecommissionRecord) change.value();
        List<String> machines = record.machines().isEmpty() ? List.of(name) : record.machines();
        Entry entry = new Entry(change.key(), machines, record, change.revision());
        byKey.put(entry.key, entry);
        machines.forEach(machine -> byMachine.put(machine, entry));
        return Optional.of(entry);
    }

    Collection<Entry> all() {
        return byKey.values();
    }

    /** Returns the record that covers the machine, or null if there is none. */
    Entry get(String machine) {
        return byMachine.get(machine);
    }
}
