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
 * Bins of a first-fit packing, which estimates how many pending tasks fit on machines. The bins are grouped by pool, so
 * that a job is compared only with machines that it may use. A bin whose CPUs are used up is removed immediately.
 */
final class MachineBins {
    /** The type of a machine and the resources in use on it. */
    private static final class Bin {
        private final MachineType type;
        private final ResourceUsage usage;

        Bin(MachineType type, ResourceUsage usage) {
            this.type = type;
            this.usage = usage;
        }

        /** Adds as many of the tasks as fit, and returns how many were added. */
        int add(Job job, int tasks) {
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

    /** Adds a machine. The usage object is modified when tasks are added. */
    void add(InstancePool pool, MachineType type, ResourceUsage usage) {
        binsByPool.computeIfAbsent(pool, p -> new ArrayList<>()).add(new Bin(type, usage));
    }

    /** Adds tasks of the job to the first bins that they fit into, and returns how many fit into none. */
    int pack(Job job, int tasks) {
        int remaining = tasks;
        for (Map.Entry<InstancePool, List<Bin>> entry : binsByPool.entrySet()) {
            if (remaining > 0 && entry.getKey().isAllowedFor(job)) {
                remaining = pack(entry.getValue(), job, remaining);
            }
        }
        return remaining;
    }

    private static int pack(List<Bin> bins, Job job, int tasks) {
        int remaining = tasks;
        for (Iterator<Bin> iterator = bins.iterator(); iterator.hasNext() && remaining > 0; ) {
            Bin bin = iterator.next();
            remaining -= bin.add(job, remaining);
            if (bin.isFull()) {
                iterator.remove();
            }
        }
        return remaining;
    }
}
