package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Machines that this controller wants to own although another one does, as they cannot reach that one. Claims that come
 * close together share a partition map.
 */
final class MachineClaims {
    /** Time between two maps that are written for claims. */
    private static final long WRITE_INTERVAL_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final String self;
    private final Set<String> machines = new HashSet<>();
    private long takenAtMs = ControllerContext.NEVER_MS;

    MachineClaims(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().controllerName();
    }

    void add(String machine) {
        machines.add(machine);
    }

    /** Removes and returns the claims to be written now, by machine with this controller as the owner. */
    Map<String, String> takeDue() {
        machines.removeIf(this::isSettled);
        if (machines.isEmpty() || context.nowMs() - takenAtMs <= WRITE_INTERVAL_MS) {
            return Map.of();
        }
        takenAtMs = context.nowMs();
        context.info("taking over machines that cannot reach their controller: " + machines);
        Map<String, String> taken = new HashMap<>();
        machines.stream()
                .limit(PartitionMapBuilder.MAX_REASSIGNED_MACHINES)
                .forEach(machine -> taken.put(machine, self));
        machines.removeAll(taken.keySet());
        return taken;
    }

    /** True if the machine is this controller's by now, or on its way out. */
    private boolean isSettled(String machine) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), machine)) || replica.isDecommissioned(machine);
    }
}
