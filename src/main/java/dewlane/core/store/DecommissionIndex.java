package dewlane.core.store;

import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The records that let go of machines, by their keys and by the names of the machines. */
public final class DecommissionIndex {
    /** A record of one or several machines, its key, and the version of that. */
    public record Entry(String key, DecommissionRecord record, long revision) {
        /** The machines that the record is about. */
        public List<String> machines() {
            return record.machines().isEmpty()
                    ? List.of(key.substring(StoreKeys.DECOMMISSIONS.length()))
                    : record.machines();
        }
    }

    private final Map<String, Entry> byMachine = new LinkedHashMap<>();
    private final Map<String, Entry> byKey = new LinkedHashMap<>();

    DecommissionIndex() {}

    void clear() {
        byMachine.clear();
        byKey.clear();
    }

    /** Takes a change of a record; returns the new one, or null if the record is gone or the change is an old one. */
    Entry apply(Input.KeyChange change) {
        Entry known = byKey.get(change.key());
        if (known != null && known.revision > change.revision()) {
            return null;
        }
        if (known != null) {
            byKey.remove(change.key());
            known.machines().forEach(name -> byMachine.remove(name, known));
        }
        if (change.value() == null) {
            return null;
        }
        Entry entry = new Entry(change.key(), (DecommissionRecord) change.value(), change.revision());
        byKey.put(entry.key, entry);
        entry.machines().forEach(name -> byMachine.put(name, entry));
        return entry;
    }

    Collection<Entry> byKey() {
        return byKey.values();
    }

    Map<String, Entry> byMachine() {
        return byMachine;
    }
}
