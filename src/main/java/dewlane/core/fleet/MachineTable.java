package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines that this controller has observed, by name, regardless of their owner; and the names of those proven
 * terminated.
 */
final class MachineTable {
    private final ControllerContext context;
    private final OwnedMachines owned;
    private final Map<String, Machine> byName = new LinkedHashMap<>();
    private final Set<String> terminated = new HashSet<>();

    MachineTable(ControllerContext context, OwnedMachines owned) {
        this.context = context;
        this.owned = owned;
    }

    /** Returns the machine, or null if it is not in the table. */
    Machine get(String name) {
        return byName.get(name);
    }

    /** Returns the machine, adding it if it is not in the table. */
    Machine getOrCreate(String name) {
        Machine machine = byName.get(name);
        if (machine == null) {
            machine = new Machine(name, context.nowMs());
            byName.put(name, machine);
            owned.updateOwner(machine, true);
        }
        return machine;
    }

    /** Returns all machines, in the order in which they were added. */
    Collection<Machine> all() {
        return byName.values();
    }

    /** Records that the machine is proven terminated. It stays in the table while the store assigns attempts to it. */
    void markTerminated(String name) {
        terminated.add(name);
        Machine machine = byName.get(name);
        if (machine != null) {
            removeIfTerminated(machine);
        }
    }

    /** Returns true if the machine is proven terminated. */
    boolean isTerminated(String name) {
        return terminated.contains(name);
    }

    /** Removes the machine if it is proven terminated and the store assigns no attempts to it. */
    void removeIfTerminated(Machine machine) {
        if (machine.attempts().isEmpty() && terminated.contains(machine.name())) {
            byName.remove(machine.name());
            owned.remove(machine);
        }
    }
}
