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
 * The cloud's instances as the leader observes them: those on the cloud's list, which lags; those that were created but
 * have not booted; and those that are certain to be terminated.
 */
public final class InstanceInventory {
    /** An instance that no page of the list has shown for this time counts as no longer listed. */
    private static final long LISTED_TTL_MS = 20_000;
    /** The boot timeout of an instance whose type is not in the catalog. */
    private static final double UNKNOWN_TYPE_BOOT_TIMEOUT_S = 300;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final DecommissionWriter decommissions;
    /** The time at which the list last showed an instance, by name. */
    private final Map<String, Long> listedAtMs = new HashMap<>();
    /** Instances that were created but have not booted, by name. */
    private final Map<String, InstanceRequest> pending = new LinkedHashMap<>();
    /** Instances that have booted and are not terminated. */
    private final Set<String> booted = new HashSet<>();
    /** Instances whose deletion the cloud has confirmed, or that its list shows as failed. */
    private final Set<String> terminated = new HashSet<>();

    /** Creates an empty inventory. Failed and overdue instances are decommissioned through the writer. */
    public InstanceInventory(ControllerContext context, MachineRegistry machines, DecommissionWriter decommissions) {
        this.context = context;
        this.machines = machines;
        this.decommissions = decommissions;
    }

    /** Drops the listed and pending instances, which only the leader keeps up to date. */
    void clear() {
        listedAtMs.clear();
        pending.clear();
    }

    /** Returns true if any instance is listed, so that a list was read since this controller became the leader. */
    boolean hasList() {
        return !listedAtMs.isEmpty();
    }

    /** Returns how many instances are listed. */
    int listedCount() {
        return listedAtMs.size();
    }

    /** Returns true if the instance is listed. */
    boolean isListed(String name) {
        return listedAtMs.containsKey(name);
    }

    /** Returns true if all of the instances are certain to be terminated. */
    boolean areTerminated(Collection<String> names) {
        return terminated.containsAll(names);
    }

    /** Returns true if the instance is certain to be terminated. */
    boolean isTerminated(String name) {
        return terminated.contains(name);
    }

    /** Returns the instances that were created but have not booted, by name. */
    Map<String, InstanceRequest> pending() {
        return Collections.unmodifiableMap(pending);
    }

    /** Called when a page of the cloud's list was read. A page may be older than the previous one. */
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

    /** Called when the cloud has reported that it created instances. */
    void onCreated(List<String> names, InstanceRequest request) {
        names.forEach(name -> pending.put(name, request));
    }

    /** Called when a deletion was answered or timed out. Only an answer shows that the instances are terminated. */
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

    /**
     * Moves pending instances to the booted ones if their workers have contacted this controller, have attempts, or are
     * listed by their partition owner.
     */
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

    /** Decommissions instances that did not boot in time, since they cost money without being usable. */
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
