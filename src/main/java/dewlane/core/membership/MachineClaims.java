package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Machines that this controller claims because they cannot reach the controller that owns them. Claims that are made
 * within a short time are written with one partition map.
 */
final class MachineClaims {
    /** The shortest time between two partition maps that are written for claims. */
    private static final long WRITE_INTERVAL_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final String self;
    private final Set<String> machines = new HashSet<>();
    private long lastTakenMs = ControllerContext.NEVER_MS;

    MachineClaims(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().controllerName();
    }

    void add(String machine) {
        machines.add(machine);
    }

    /** Removes and returns the claims to be written now: this controller as the new owner, by machine. */
    Map<String, String> takeDue() {
        machines.removeIf(this::isObsolete);
        if (machines.isEmpty() || context.nowMs() - lastTakenMs <= WRITE_INTERVAL_MS) {
            return Map.of();
        }
        lastTakenMs = context.nowMs();
        context.info("taking over machines that cannot reach their controller: " + machines);
        Map<String, String> taken = new HashMap<>();
        machines.stream()
                .limit(PartitionMapBuilder.MAX_REASSIGNED_MACHINES)
                .forEach(machine -> taken.put(machine, self));
        machines.removeAll(taken.keySet());
        return taken;
    }

    /** Returns true if this controller already owns the machine, or if the machine is being decommissioned. */
    private boolean isObsolete(String machine) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), machine)) || replica.isDecommissioned(machine);
    }
}
