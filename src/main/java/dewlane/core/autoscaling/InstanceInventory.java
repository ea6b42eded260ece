package dewlane.core.autoscaling;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;
import dewlane.core.model.CloudInstance;
import dewlane.core.model.MachineType;
import dewlane.core.schema.StoredValue.DecommissionState;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the leader knows of the cloud's instances: those on its list, which lags, those that are pending, and those that
 * are proven terminated.
 */
public final class InstanceInventory {
    /** An instance that no page of the list showed for so long is not listed any more. */
    private static final long LISTED_TTL_MS = 20_000;
    /** How long an instance of an unknown type may take to boot. */
    private static final double UNKNOWN_TYPE_BOOT_TIMEOUT_S = 300;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final DecommissionWriter decommissions;
    /** By name, when the list last showed an instance. */
    private final Map<String, Long> listedAtMs = new HashMap<>();
    /** Instances that were created but have not been seen up. */
    private final Map<String, InstanceRequest> pending = new LinkedHashMap<>();
    /** Instances that have been seen up. */
    private final Set<String> booted = new HashSet<>();
    /** Instances whose deletion was answered, or that the cloud calls failed. */
    private final Set<String> terminated = new HashSet<>();

    /** An empty inventory, which has failed and overdue instances decommissioned by the writer. */
    public InstanceInventory(ControllerContext context, MachineRegistry machines, DecommissionWriter decommissions) {
        this.context = context;
        this.machines = machines;
        this.decommissions = decommissions;
    }

    /** Forgets what only a leader keeps current. */
    void clear() {
        listedAtMs.clear();
        pending.clear();
    }

    /** True once a list was read since this controller leads. */
    boolean hasList() {
        return !listedAtMs.isEmpty();
    }

    /** How many instances the list has shown of late. */
    int listedCount() {
        return listedAtMs.size();
    }

    /** True if the list has shown the instance of late. */
    boolean isListed(String name) {
        return listedAtMs.containsKey(name);
    }

    /** True if all of the instances are proven terminated. */
    boolean areTerminated(Collection<String> names) {
        return terminated.containsAll(names);
    }

    /** True if the instance is proven terminated. */
    boolean isTerminated(String name) {
        return terminated.contains(name);
    }

    /** Instances that were created but have not been seen up, by name. */
    Map<String, InstanceRequest> pending() {
        return Collections.unmodifiableMap(pending);
    }

    /** Takes a page of the cloud's list, which may be older than the one before. */
    void onListed(List<CloudInstance> page) {
        for (CloudInstance instance : page) {
            if (!machines.isTerminated(instance.name())) {
                onListed(instance);
            }
        }
        listedAtMs.values().removeIf(atMs -> context.nowMs() - atMs > LISTED_TTL_MS);
    }

    private void onListed(CloudInstance instance) {
        String name = instance.name();
        listedAtMs.put(name, context.nowMs());
        if (instance.state() == CloudInstance.State.FAILED) {
            terminated.add(name);
            decommissions.decommission(name, DecommissionState.TERMINATED, "failed");
        } else if (instance.state() == CloudInstance.State.RUNNING) {
            machines.discover(name, instance.address(), instance.type(), instance.zone(), instance.spot());
        } else if (!pending.containsKey(name) && !booted.contains(name) && !terminated.contains(name)) {
            InstancePool pool = new InstancePool(instance.type(), instance.zone(), instance.spot());
            long createdAtMs = context.nowMs() - (long) (instance.ageS() * 1000);
            pending.put(name, new InstanceRequest(pool, 1, createdAtMs));
        }
    }

    /** Takes instances that the cloud said it created. */
    void onCreated(List<String> names, InstanceRequest request) {
        names.forEach(name -> pending.put(name, request));
    }

    /** Takes what a deletion's answer proves. */
    void onDeleted(Input.InstancesDeleted in) {
        if (!in.terminated()) {
            return;
        }
        for (String name : in.machines()) {
            listedAtMs.remove(name);
            pending.remove(name);
            terminated.add(name);
        }
    }

    /** Finds pending instances that are up: their workers were heard, here or by their owners. */
    void detectBooted() {
        for (Machine machine : machines.all()) {
            if (machine.reachability().wasConfirmed()
                    || !machine.attempts().isEmpty()
                    || machines.isListedByOwner(machine)) {
                booted.add(machine.name());
            }
        }
        booted.removeIf(machines::isTerminated);
        pending.keySet().removeIf(name -> booted.contains(name) || machines.isTerminated(name));
    }

    /** Has instances deleted that did not boot in time: they are paid for without use. */
    void decommissionOverdue() {
        pending.forEach((name, request) -> {
            boolean overdue = context.nowMs() - request.requestedAtMs() > bootTimeoutS(request) * 1000;
            if (overdue && !decommissions.isDecommissioned(name)) {
                context.info("instance " + name + " did not boot in time, deleting it");
                decommissions.decommission(name, DecommissionState.DELETE, "never came up");
            }
        });
    }

    private double bootTimeoutS(InstanceRequest request) {
        MachineType type = machines.type(request.pool().type());
        double factor = context.settings().tuning().bootTimeoutFactor();
        return type == null ? UNKNOWN_TYPE_BOOT_TIMEOUT_S : type.bootS() * factor;
    }
}
