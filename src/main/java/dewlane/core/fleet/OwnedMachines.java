package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.store.StoreReplica;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/** The machines of this controller's partition, under the replica's partition map. */
final class OwnedMachines {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final String self;
    private final Set<Machine> owned = new LinkedHashSet<>();
    /** Those for which there may be something to command. */
    private final Set<Machine> changed = new LinkedHashSet<>();

    OwnedMachines(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().controllerName();
    }

    /** True if the machine is in this controller's partition. */
    boolean owns(Machine machine) {
        return self.equals(machine.owner());
    }

    /** The machines of this partition. */
    Collection<Machine> all() {
        return owned;
    }

    /** Machines of this partition for which there may be something to command; the caller clears it. */
    Collection<Machine> changed() {
        return changed;
    }

    /** There may be something to command to the machine, if it is in this partition. */
    void markChanged(Machine machine) {
        if (owns(machine)) {
            changed.add(machine);
        }
    }

    /**
     * Sets the machine's owner under the present map.
     *
     * @param reacquire true if this controller may not have owned its machines all along: those that it owns now count
     *     as new to it
     */
    void updateOwner(Machine machine, boolean reacquire) {
        PartitionMap map = replica.partitionMap();
        boolean wasOwned = owns(machine);
        machine.setOwner(Partitioner.ownerOf(map, machine.name()), reacquire, context.nowMs());
        if (!owns(machine)) {
            remove(machine);
            machine.reachability().handedOver();
        } else if (reacquire || !wasOwned) {
            machine.acquire(map.epoch(), context.nowMs());
            owned.add(machine);
            changed.add(machine);
        }
    }

    /** The machine is not in this partition, or not there, any more. */
    void remove(Machine machine) {
        owned.remove(machine);
        changed.remove(machine);
    }
}
