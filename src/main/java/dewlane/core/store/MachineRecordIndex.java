package dewlane.core.store;

import dewlane.core.message.Input;
import dewlane.core.schema.Keys;
import dewlane.core.schema.Value.MachineRecord;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The records that let go of machines, by their keys and by the names of the machines. */
public final class MachineRecordIndex {
    /** A record of one or several machines, its key, and the version of that. */
    public record Entry(String key, MachineRecord record, long version) {
        /** The machines that the record is about. */
        public List<String> names() {
            return record.names().isEmpty() ? List.of(key.substring(Keys.MACHINES.length())) : record.names();
        }
    }

    private final Map<String, Entry> byName = new LinkedHashMap<>();
    private final Map<String, Entry> byKey = new LinkedHashMap<>();

    MachineRecordIndex() {}

    void clear() {
        byName.clear();
        byKey.clear();
    }

    /** Takes a change of a record; returns the new one, or null if the record is gone or the change is an old one. */
    Entry apply(Input.Change change) {
        Entry known = byKey.get(change.key());
        if (known != null && known.version > change.version()) {
            return null;
        }
        if (known != null) {
            byKey.remove(change.key());
            known.names().forEach(name -> byName.remove(name, known));
        }
        if (change.value() == null) {
            return null;
        }
        Entry entry = new Entry(change.key(), (MachineRecord) change.value(), change.version());
        byKey.put(entry.key, entry);
        entry.names().forEach(name -> byName.put(name, entry));
        return entry;
    }

    Collection<Entry> byKey() {
        return byKey.values();
    }

    Map<String, Entry> byName() {
        return byName;
    }
}
