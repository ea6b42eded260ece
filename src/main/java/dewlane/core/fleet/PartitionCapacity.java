package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how many tasks fit on the machines of each partition, from this controller's view. Counts are cached
 * briefly, as they are needed for every job.
 */
public final class PartitionCapacity {
    private static final long CACHE_TTL_MS = 250;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    /**
     * For each set of requirements, the number of tasks that fit into each partition, in the order of the map's
     * members.
     */
    private final Map<Job.Requirements, int[]> cached = new HashMap<>();

    private long countedAtMs = ControllerContext.NEVER_MS;
    private long countedForRevision;
    private long generation;

    /** Creates an estimator over the registry's machines and the replica's partition map. */
    public PartitionCapacity(ControllerContext context, StoreReplica replica, MachineRegistry machines) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
    }

    /**
     * Drops counts that are out of date.
     *
     * @return a number that increases whenever counts are dropped
     */
    public long refresh() {
        if (context.nowMs() - countedAtMs > CACHE_TTL_MS || replica.partitionMapRevision() != countedForRevision) {
            cached.clear();
            countedAtMs = context.nowMs();
            countedForRevision = replica.partitionMapRevision();
            generation++;
        }
        return generation;
    }

    /** Returns the number of the job's tasks that fit into each partition, in the order of the map's members. */
    public int[] byPartition(Job job, Job.Requirements requirements) {
        refresh();
        return cached.computeIfAbsent(requirements, key -> count(job, key));
    }

    private int[] count(Job job, Job.Requirements requirements) {
        List<Member> members = replica.partitionMap().members();
        int[] capacity = new int[members.size()];
        for (Machine machine : machines.all()) {
            MachineType type = machines.type(machine);
            if (type != null && type.fits(requirements) && acceptsTasks(machine) && machine.isAllowedFor(job)) {
                capacity[indexOf(members, machine.owner())] += machine.usage().capacityFor(type, job);
            }
        }
        return capacity;
    }

    /**
     * Returns the position of a controller among the members.
     *
     * @throws IllegalStateException if it is not a member
     */
    public static int indexOf(List<Member> members, String controller) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).name().equals(controller)) {
                return i;
            }
        }
        throw new IllegalStateException(controller + " is not in the partition map");
    }

    private boolean acceptsTasks(Machine machine) {
        if (machine.owner() == null || replica.isDecommissioned(machine.name())) {
            return false;
        }
        if (machines.owns(machine)) {
            return machine.reachability()
                            .wasConfirmedWithin(
                                    context.nowMs(), context.settings().heartbeatTimeoutMs())
                    && !machine.lifecycle().isTerminationScheduled()
                    && !machine.reachability().isSuspected();
        }
        return machines.isListedByOwner(machine);
    }
}
