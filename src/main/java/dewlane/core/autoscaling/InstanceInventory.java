package dewlane.core.autoscaling;

import dewlane.core.autoscaling.InstanceRequest.InstancePool;
import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.CloudInstance;
import dewlane.core.model.MachineType;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.UnknownFields;
import dewlane.core.store.DecommissionIndex;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the leader knows of the cloud's machines: those on its lagging list, those on their way, and those proven gone.
 * It deletes machines whose records ask for it, and records the proof.
 */
public final class InstanceInventory {
    private static final long DELETE_RETRY_MS = 6000;
    /** As many as the cloud deletes by one request. */
    private static final int MOST_DELETED = 100;

    private static final long KEEP_GONE_MS = 60_000;
    /** So long the cloud's list may still show a machine that was returned. */
    private static final long KEEP_RETURNED_MS = 30_000;
    /** A machine that no page of the list showed for so long is not listed any more. */
    private static final long LISTED_MS = 20_000;
    /** How long a machine of an unknown type may take to come up. */
    private static final double UNKNOWN_BOOT_S = 300;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final TransactionQueue transactions;
    private final Map<String, Long> listedAt = new HashMap<>();
    /** Machines that have not been seen up yet. */
    private final Map<String, InstanceRequest> booting = new LinkedHashMap<>();

    private final Map<String, Long> deletingAt = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    /** Machines that a delete was answered for, or that the cloud calls failed. */
    private final Set<String> gone = new HashSet<>();

    private final Set<String> writing = new HashSet<>();
    private final Set<String> up = new HashSet<>();

    public InstanceInventory(
            ControllerContext context, StoreReplica replica, MachineRegistry machines, TransactionQueue transactions) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.transactions = transactions;
    }

    /** Forgets what only a leader keeps current. */
    void clear() {
        listedAt.clear();
        booting.clear();
    }

    /** True once a list has come since this controller leads. */
    boolean hasList() {
        return !listedAt.isEmpty();
    }

    /** How many machines the lists of late have shown. */
    int listedMachines() {
        return listedAt.size();
    }

    /** Machines that are rented but have not been seen up, by name. */
    Map<String, InstanceRequest> booting() {
        return booting;
    }

    /** Takes a page of the cloud's list, which may be older than the one before. */
    void onListed(List<CloudInstance> page) {
        for (CloudInstance listed : page) {
            if (!machines.isTerminated(listed.name())) {
                take(listed);
            }
        }
        listedAt.values().removeIf(at -> context.nowMs() - at > LISTED_MS);
    }

    private void take(CloudInstance listed) {
        String name = listed.name();
        listedAt.put(name, context.nowMs());
        if (listed.state() == CloudInstance.State.FAILED) {
            gone.add(name);
            record(name, DecommissionState.TERMINATED, "failed");
        } else if (listed.state() == CloudInstance.State.RUNNING) {
            machines.discover(name, listed.address(), listed.type(), listed.zone(), listed.spot());
        } else if (!booting.containsKey(name) && !up.contains(name) && !gone.contains(name)) {
            InstancePool place = new InstancePool(listed.type(), listed.zone(), listed.spot());
            booting.put(name, new InstanceRequest(place, 1, context.nowMs() - (long) (listed.ageS() * 1000)));
        }
    }

    /** Takes machines that the cloud said it rented. */
    void onCreated(List<String> names, InstanceRequest rental) {
        names.forEach(name -> booting.put(name, rental));
    }

    /** Brings machines up, carries out their records, and condemns those that never came up. */
    void tick() {
        detectBooted();
        processDecommissions();
        decommissionUnbooted();
    }

    private void detectBooted() {
        for (Machine machine : machines.all()) {
            if (machine.reachability().everConfirmed()
                    || !machine.attempts().isEmpty()
                    || machines.isListedByOwner(machine)) {
                up.add(machine.name());
            }
        }
        up.removeIf(machines::isTerminated);
        booting.keySet().removeIf(name -> up.contains(name) || machines.isTerminated(name));
    }

    /** Acts on the machines' records. */
    void processDecommissions() {
        List<String> delete = new ArrayList<>();
        for (DecommissionIndex.Entry entry : replica.decommissions()) {
            switch (entry.record().state()) {
                case SCALE_IN -> processScaleIn(entry, delete);
                case DELETE -> processDelete(entry, delete);
                case TERMINATED -> processTerminated(entry, delete);
            }
        }
        delete.removeIf(name -> context.nowMs() - deletingAt.getOrDefault(name, -1_000_000L) < DELETE_RETRY_MS);
        if (!delete.isEmpty()) {
            List<String> some = List.copyOf(delete.subList(0, Math.min(MOST_DELETED, delete.size())));
            some.forEach(name -> deletingAt.put(name, context.nowMs()));
            context.debug("deleting " + some);
            context.emit(new Effect.DeleteInstances(some));
        }
    }

    private void processScaleIn(DecommissionIndex.Entry entry, List<String> delete) {
        if (gone.containsAll(entry.machines())) {
            if (context.nowMs() - goneAt.computeIfAbsent(entry.key(), k -> context.nowMs()) > KEEP_RETURNED_MS) {
                drop(entry);
            }
            return;
        }
        for (String name : entry.machines()) {
            // Nothing can have been launched there since; if ever something is there, it ends first.
            if (!gone.contains(name) && idle(name)) {
                delete.add(name);
            }
        }
    }

    private void processDelete(DecommissionIndex.Entry entry, List<String> delete) {
        if (gone.containsAll(entry.machines())) {
            replace(entry, DecommissionState.TERMINATED, "deleted");
        } else {
            delete.addAll(entry.machines());
        }
    }

    private void processTerminated(DecommissionIndex.Entry entry, List<String> delete) {
        long since = goneAt.computeIfAbsent(entry.key(), k -> context.nowMs());
        if (context.nowMs() - since < KEEP_GONE_MS / 2) {
            entry.machines().stream().filter(listedAt::containsKey).forEach(delete::add);
        } else if (context.nowMs() - since > KEEP_GONE_MS
                && entry.machines().stream().allMatch(this::idle)) {
            drop(entry);
        }
    }

    private boolean idle(String name) {
        Machine machine = machines.get(name);
        return machine == null || machine.attempts().isEmpty();
    }

    /** Notes what a deletion's answer proves. */
    void onDeleted(Input.InstancesDeleted in) {
        if (!in.terminated()) {
            return;
        }
        for (String name : in.machines()) {
            listedAt.remove(name);
            booting.remove(name);
            gone.add(name);
        }
    }

    /** Machines that did not come up in good time are charged for nothing. */
    private void decommissionUnbooted() {
        booting.forEach((name, rental) -> {
            MachineType type = machines.type(rental.pool().type());
            double bootPatience = context.settings().tuning().bootTimeoutFactor();
            double patienceS = type == null ? UNKNOWN_BOOT_S : type.bootS() * bootPatience;
            boolean late = context.nowMs() - rental.requestedAtMs() > patienceS * 1000;
            if (late && !replica.decommissionsByMachine().containsKey(name)) {
                context.info("machine " + name + " did not come up, to be deleted");
                record(name, DecommissionState.DELETE, "never came up");
            }
        });
    }

    private void record(String name, DecommissionState fate, String reason) {
        DecommissionIndex.Entry known = replica.decommissionsByMachine().get(name);
        if (known == null) {
            write(StoreKeys.decommission(name), 0, new DecommissionRecord(fate, reason, List.of()));
        } else if (known.record().state() != fate && known.record().machines().isEmpty()) {
            replace(known, fate, reason);
        }
    }

    private void replace(DecommissionIndex.Entry entry, DecommissionState fate, String reason) {
        List<List<String>> parts = DecommissionBatches.split(
                entry.record().machines(), context.settings().maxValueBytes());
        if (parts.size() > 1) {
            replaceLarge(entry, fate, reason, parts);
            return;
        }
        UnknownFields unknown = entry.record().unknown();
        write(
                entry.key(),
                entry.revision(),
                new DecommissionRecord(fate, reason, entry.record().machines(), unknown));
    }

    /** A record that was stored under larger limits becomes several, as many as one transaction holds at a time. */
    private void replaceLarge(
            DecommissionIndex.Entry entry, DecommissionState fate, String reason, List<List<String>> parts) {
        if (!writing.add(entry.key())) {
            return;
        }
        Transaction.Builder transaction = new Transaction.Builder().require(entry.key(), entry.revision());
        int most = Math.min(parts.size(), context.settings().maxTransactionWrites());
        for (int i = 0; i < most; i++) {
            String key = i == 0 ? entry.key() : entry.key() + "-" + i;
            if (i > 0) {
                transaction.require(key, 0);
            }
            // The names that find no room now stay condemned one by one, by whoever has their part.
            transaction.put(key, new DecommissionRecord(fate, reason, parts.get(i)));
        }
        transactions.submit(
                TransactionPriority.OUTCOME, transaction.build(), (status, revision) -> writing.remove(entry.key()));
    }

    private void write(String key, long version, DecommissionRecord record) {
        if (writing.add(key)) {
            Transaction transaction = new Transaction.Builder()
                    .require(key, version)
                    .put(key, record)
                    .build();
            transactions.submit(TransactionPriority.OUTCOME, transaction, (status, revision) -> writing.remove(key));
        }
    }

    private void drop(DecommissionIndex.Entry entry) {
        String key = entry.key();
        if (writing.add(key)) {
            Transaction transaction = new Transaction.Builder()
                    .require(key, entry.revision())
                    .delete(key)
                    .build();
            transactions.submit(TransactionPriority.LATER, transaction, (status, revision) -> {
                writing.remove(key);
                goneAt.remove(key);
            });
        }
    }
}
