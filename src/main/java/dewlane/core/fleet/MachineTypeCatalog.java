package dewlane.core.fleet;

import dewlane.core.model.MachineType;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The machine types that the cloud offers, by name, and the contention of jobs for them. */
final class MachineTypeCatalog {
    private final Map<String, MachineType> byName = new LinkedHashMap<>();
    private final MachineTypeContention contention = new MachineTypeContention(byName.values());

    /** Replaces all types. */
    void replaceAll(List<MachineType> types) {
        byName.clear();
        types.forEach(type -> byName.put(type.name(), type));
        contention.onTypesChanged();
    }

    /** Returns all types, in the order in which the cloud lists them. */
    Collection<MachineType> all() {
        return Collections.unmodifiableCollection(byName.values());
    }

    /** Returns the type with the given name, or null if the cloud does not offer it. */
    MachineType get(String name) {
        return byName.get(name);
    }

    /** Returns the contention of jobs for the types. */
    MachineTypeContention contention() {
        return contention;
    }
}
