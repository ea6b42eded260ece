package dewlane.core.autoscaling;

import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The bins of a first-fit bin packing: machines into which tasks are put by estimate. Bins are kept by pool, so that a
 * job looks only at machines that it may use, and a full one is dropped at once.
 */
final class MachineBins {
    /** A machine's type and what is in use on it. */
    private static final class Bin {
        private final MachineType type;
        private final ResourceUsage usage;

        Bin(MachineType type, ResourceUsage usage) {
            this.type = type;
            this.usage = usage;
        }

        /** Puts up to the given number of tasks into the bin; returns how many. */
        int put(Job job, int tasks) {
            int fitting = Math.min(tasks, usage.capacityFor(type, job));
            if (fitting > 0) {
                usage.add(job, fitting);
            }
            return fitting;
        }

        boolean isFull() {
            return usage.cpus() >= type.cpus();
        }
    }

    private final Map<InstancePool, List<Bin>> binsByPool = new LinkedHashMap<>();

    /** Adds a machine with the given usage, which is changed from now on. */
    void add(InstancePool pool, MachineType type, ResourceUsage usage) {
        binsByPool.computeIfAbsent(pool, p -> new ArrayList<>()).add(new Bin(type, usage));
    }

    /** Puts tasks of the job into the first bins that they fit into; returns how many fit into none. */
    int put(Job job, int tasks) {
        int remaining = tasks;
        for (Map.Entry<InstancePool, List<Bin>> entry : binsByPool.entrySet()) {
            if (remaining > 0 && entry.getKey().isAllowedFor(job)) {
                remaining = put(entry.getValue(), job, remaining);
            }
        }
        return remaining;
    }

    private static int put(List<Bin> bins, Job job, int tasks) {
        int remaining = tasks;
        for (Iterator<Bin> iterator = bins.iterator(); iterator.hasNext() && remaining > 0; ) {
            Bin bin = iterator.next();
            remaining -= bin.put(job, remaining);
            if (bin.isFull()) {
                iterator.remove();
            }
        }
        return remaining;
    }
}
