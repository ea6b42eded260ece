package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.store.StoreReplica;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/** The machines in this controller's partition, according to the replica's partition map. */
final class OwnedMachines {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final String self;
    private final Set<Machine> owned = new LinkedHashSet<>();
    /** The owned machines whose commands are to be planned again. */
    private final Set<Machine> machinesToPlan = new LinkedHashSet<>();

    OwnedMachines(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().controllerName();
    }

    /** Returns true if the machine is in this controller's partition. */
    boolean owns(Machine machine) {
        return self.equals(machine.owner());
    }

    /** Returns the machines in this partition. */
    Collection<Machine> all() {
        return owned;
    }

    /**
     * Returns the machines in this partition whose commands are to be planned again; the caller clears the collection.
     */
    Collection<Machine> machinesToPlan() {
        return machinesToPlan;
    }

    /** Marks the machine to have its commands planned again, if it is in this partition. */
    void markForPlanning(Machine machine) {
        if (owns(machine)) {
            machinesToPlan.add(machine);
        }
    }

    /**
     * Sets the machine's owner under the current partition map.
     *
     * @param reacquire true if this controller may not have owned its machines throughout: those that it owns now count
     *     as newly acquired
     */
    void updateOwner(Machine machine, boolean reacquire) {
        PartitionMap map = replica.partitionMap();
        boolean wasOwned = owns(machine);
        machine.setOwner(Partitioner.ownerOf(map, machine.name()), reacquire, context.nowMs());
        if (!owns(machine)) {
            remove(machine);
            machine.reachability().onNotOwned();
        } else if (reacquire || !wasOwned) {
            machine.acquire(map.epoch(), context.nowMs());
            owned.add(machine);
            machinesToPlan.add(machine);
        }
    }

    /** Removes a machine that is terminated or not in this partition any more. */
    void remove(Machine machine) {
        owned.remove(machine);
        machinesToPlan.remove(machine);
    }
}
