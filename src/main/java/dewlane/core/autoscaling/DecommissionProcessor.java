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

/** Carries out decommission records: deletes their instances, records the proof, and drops records that are done. */
public final class DecommissionProcessor {
    private static final long DELETE_RETRY_INTERVAL_MS = 6000;
    /** For how long a record of terminated machines is kept. */
    private static final long TERMINATED_TTL_MS = 60_000;
    /** For how long the cloud's list may still show a machine that was scaled in. */
    private static final long SCALED_IN_TTL_MS = 30_000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final InstanceInventory inventory;
    private final DecommissionWriter writer;
    /** By machine, when its deletion was last requested. */
    private final Map<String, Long> deletedAtMs = new HashMap<>();
    /** By key of a record, when all its machines were first found terminated. */
    private final Map<String, Long> terminatedAtMs = new HashMap<>();

    /** Processes the replica's records, changing them by the writer. */
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

    /** Acts on all records. */
    void process() {
        List<String> names = new ArrayList<>();
        for (DecommissionIndex.Entry entry : replica.decommissions()) {
            switch (entry.record().state()) {
                case SCALE_IN -> processScaleIn(entry, names);
                case DELETE -> processDelete(entry, names);
                case TERMINATED -> processTerminated(entry, names);
            }
        }
        names.removeIf(this::wasDeletedRecently);
        if (!names.isEmpty()) {
            deleteInstances(
                    List.copyOf(names.subList(0, Math.min(Effect.DeleteInstances.MAX_INSTANCES, names.size()))));
        }
    }

    private boolean wasDeletedRecently(String name) {
        return context.nowMs() - deletedAtMs.getOrDefault(name, ControllerContext.NEVER_MS) < DELETE_RETRY_INTERVAL_MS;
    }

    private void deleteInstances(List<String> names) {
        names.forEach(name -> deletedAtMs.put(name, context.nowMs()));
        context.debug("deleting " + names);
        context.emit(new Effect.DeleteInstances(names));
    }

    /** Adds the record's machines that can be deleted to the names. */
    private void processScaleIn(DecommissionIndex.Entry entry, List<String> names) {
        if (inventory.areTerminated(entry.machines())) {
            if (terminatedForMs(entry) > SCALED_IN_TTL_MS) {
                delete(entry);
            }
            return;
        }
        for (String name : entry.machines()) {
            // Nothing can have been launched there since; if ever something is there, it ends first.
            if (!inventory.isTerminated(name) && isIdle(name)) {
                names.add(name);
            }
        }
    }

    private void processDelete(DecommissionIndex.Entry entry, List<String> names) {
        if (inventory.areTerminated(entry.machines())) {
            writer.update(entry, DecommissionState.TERMINATED, "deleted");
        } else {
            names.addAll(entry.machines());
        }
    }

    private void processTerminated(DecommissionIndex.Entry entry, List<String> names) {
        long terminatedForMs = terminatedForMs(entry);
        if (terminatedForMs < TERMINATED_TTL_MS / 2) {
            entry.machines().stream().filter(inventory::isListed).forEach(names::add);
        } else if (terminatedForMs > TERMINATED_TTL_MS
                && entry.machines().stream().allMatch(this::isIdle)) {
            delete(entry);
        }
    }

    private long terminatedForMs(DecommissionIndex.Entry entry) {
        return context.nowMs() - terminatedAtMs.computeIfAbsent(entry.key(), key -> context.nowMs());
    }

    private void delete(DecommissionIndex.Entry entry) {
        writer.delete(entry, () -> terminatedAtMs.remove(entry.key()));
    }

    private boolean isIdle(String name) {
        Machine machine = machines.get(name);
        return machine == null || machine.attempts().isEmpty();
    }
}
