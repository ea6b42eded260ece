package dewlane.core.autoscaling;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.store.DecommissionIndex;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Executes decommission records: deletes the instances, records that they are terminated, and deletes records that are
 * no longer needed.
 */
public final class DecommissionProcessor {
    private static final long DELETE_RETRY_INTERVAL_MS = 6000;
    /** The time for which a record is kept after all its machines are terminated. */
    private static final long TERMINATED_RECORD_TTL_MS = 60_000;
    /** The same for a scale-in record. The cloud's list may show terminated machines for up to this time. */
    private static final long SCALED_IN_RECORD_TTL_MS = 30_000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final InstanceInventory inventory;
    private final DecommissionWriter writer;
    /** The time of the last deletion request, by machine. */
    private final Map<String, Long> deletionRequestedAtMs = new HashMap<>();
    /** The time at which all machines of a record were first found terminated, by the key of the record. */
    private final Map<String, Long> allTerminatedAtMs = new HashMap<>();

    /** Creates a processor for the records of the replica. Changes are written by the writer. */
    public DecommissionProcessor(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            InstanceInventory inventory,
            DecommissionWriter writer) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.inventory = inventory;
        this.writer = writer;
    }

    /** Processes all records, and requests the deletion of as many instances as one request may name. */
    void process() {
        List<String> deletable = new ArrayList<>();
        for (DecommissionIndex.Entry entry : replica.decommissions()) {
            switch (entry.record().state()) {
                case SCALE_IN -> processScaleIn(entry, deletable);
                case DELETE -> processDelete(entry, deletable);
                case TERMINATED -> processTerminated(entry, deletable);
            }
        }
        deletable.removeIf(this::wasDeletionRequestedRecently);
        if (!deletable.isEmpty()) {
            deleteInstances(List.copyOf(
                    deletable.subList(0, Math.min(Effect.DeleteInstances.MAX_INSTANCES, deletable.size()))));
        }
    }

    private boolean wasDeletionRequestedRecently(String name) {
        return context.nowMs() - deletionRequestedAtMs.getOrDefault(name, ControllerContext.NEVER_MS)
                < DELETE_RETRY_INTERVAL_MS;
    }

    private void deleteInstances(List<String> names) {
        names.forEach(name -> deletionRequestedAtMs.put(name, context.nowMs()));
        context.debug("deleting instances " + names);
        context.emit(new Effect.DeleteInstances(names));
    }

    /** Adds the idle machines of the record to the deletable ones. */
    private void processScaleIn(DecommissionIndex.Entry entry, List<String> deletable) {
        if (inventory.areTerminated(entry.machines())) {
            if (terminatedForMs(entry) > SCALED_IN_RECORD_TTL_MS) {
                delete(entry);
            }
            return;
        }
        for (String name : entry.machines()) {
            // No task can have been launched since the record was written. If there are attempts all the same, they
            // end before the machine is deleted.
            if (!inventory.isTerminated(name) && isIdle(name)) {
                deletable.add(name);
            }
        }
    }

    private void processDelete(DecommissionIndex.Entry entry, List<String> deletable) {
        if (inventory.areTerminated(entry.machines())) {
            writer.update(entry, DecommissionState.TERMINATED, "deleted");
        } else {
            deletable.addAll(entry.machines());
        }
    }

    /** Deletes machines again that the list still shows, and later the record, once no attempts are left on them. */
    private void processTerminated(DecommissionIndex.Entry entry, List<String> deletable) {
        long terminatedForMs = terminatedForMs(entry);
        if (terminatedForMs < TERMINATED_RECORD_TTL_MS / 2) {
            entry.machines().stream().filter(inventory::isListed).forEach(deletable::add);
        } else if (terminatedForMs > TERMINATED_RECORD_TTL_MS
                && entry.machines().stream().allMatch(this::isIdle)) {
            delete(entry);
        }
    }

    private long terminatedForMs(DecommissionIndex.Entry entry) {
        return context.nowMs() - allTerminatedAtMs.computeIfAbsent(entry.key(), key -> context.nowMs());
    }

    private void delete(DecommissionIndex.Entry entry) {
        writer.delete(entry, () -> allTerminatedAtMs.remove(entry.key()));
    }

    private boolean isIdle(String name) {
        Machine machine = machines.get(name);
        return machine == null || machine.attempts().isEmpty();
    }
}
