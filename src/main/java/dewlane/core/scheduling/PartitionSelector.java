package dewlane.core.scheduling;

import dewlane.core.fleet.PartitionCapacity;
import dewlane.core.job.DependencyGraph;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Ranks partitions for the tasks of a job by their capacity and by the tasks that are already pending there. */
public final class PartitionSelector {
    /**
     * Time during which a job leaves the capacity of a partition to all tasks that are pending there, including those
     * that cannot start yet. After that it leaves only the capacity for tasks that could start now.
     */
    private static final long YIELD_PERIOD_MS = 30_000;

    private static final double MIN_CPUS_PER_TASK = 0.001;

    /** Cache key: jobs with equal demand have the same candidates. */
    private record Demand(Job.Requirements requirements, Priority priority, String team, boolean waitedLong) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final PartitionCapacity capacity;
    private final QuotaEnforcer quota;
    private final DependencyGraph dependencies;
    private final Map<Demand, List<PartitionCandidate>> cache = new HashMap<>();
    /** Generation of the capacity counts from which the cached candidates were computed. */
    private long cacheGeneration;

    /** Creates a selector of partitions in the replica's partition map. */
    public PartitionSelector(
            ControllerContext context,
            StoreReplica replica,
            PartitionCapacity capacity,
            QuotaEnforcer quota,
            DependencyGraph dependencies) {
        this.context = context;
        this.replica = replica;
        this.capacity = capacity;
        this.quota = quota;
        this.dependencies = dependencies;
    }

    /** Returns all partitions for a new job, the one with the largest net capacity first; never empty. */
    List<PartitionCandidate> forNewJob(Job job) {
        return candidates(job, new Demand(job.requirements(), job.priority(), job.team(), false));
    }

    /** Returns the best partition that has capacity for the pending job, other than that of the given controller. */
    Optional<PartitionCandidate> findOther(JobEntry job, String controller) {
        Demand demand = new Demand(job.requirements(), job.priority(), job.job().team(), hasWaitedLong(job));
        for (PartitionCandidate candidate : candidates(job.job(), demand)) {
            if (!candidate.controller().equals(controller) && candidate.capacity() > 0) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private boolean hasWaitedLong(JobEntry job) {
        return context.wallClockMs() - job.waitingSinceMs() > YIELD_PERIOD_MS;
    }

    private List<PartitionCandidate> candidates(Job job, Demand demand) {
        long generation = capacity.refresh();
        if (generation != cacheGeneration) {
            cache.clear();
            cacheGeneration = generation;
        }
        return cache.computeIfAbsent(demand, d -> rank(job, d));
    }

    private List<PartitionCandidate> rank(Job job, Demand demand) {
        List<Member> members = replica.partitionMap().members();
        int[] capacities = capacity.byPartition(job, demand.requirements());
        CompetingDemand competing = new CompetingDemand(job, members, capacities, demand.waitedLong());
        for (JobEntry other : replica.jobs()) {
            if (other.job() != null
                    && dependencies.isReady(other.id())
                    && other.priority().compareTo(demand.priority()) >= 0) {
                competing.add(other);
            }
        }
        List<PartitionCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < capacities.length; i++) {
            String controller = members.get(i).name();
            int quotaCapacity = quota.capacityFor(job, controller);
            double netCapacity = Math.min(capacities[i] - competing.pending[i], quotaCapacity);
            // All pending tasks reduce the capacity, because large tasks can only start if other jobs leave them the
            // capacity that becomes free. For a job that has waited long, only tasks that could start now reduce it:
            // otherwise the job could wait forever although there is free capacity.
            double startable =
                    demand.waitedLong() ? Math.min(capacities[i] - competing.startable[i], quotaCapacity) : netCapacity;
            candidates.add(new PartitionCandidate(controller, (int) Math.max(0, Math.floor(startable)), netCapacity));
        }
        candidates.sort(
                Comparator.comparingDouble(PartitionCandidate::netCapacity).reversed());
        return candidates;
    }

    /**
     * Capacity of each partition that pending tasks of the added jobs need, expressed as a number of tasks of the given
     * job by their CPUs. Arrays are in the order of the map's members.
     */
    private final class CompetingDemand {
        private final Job job;
        private final List<Member> members;
        private final int[] capacities;
        private final boolean countsStartable;
        private final double[] pending;
        /** The part of {@link #pending} that could start now. Computed only if {@link #countsStartable} is set. */
        private final double[] startable;

        CompetingDemand(Job job, List<Member> members, int[] capacities, boolean countsStartable) {
            this.job = job;
            this.members = members;
            this.capacities = capacities;
            this.countsStartable = countsStartable;
            this.pending = new double[members.size()];
            this.startable = new double[members.size()];
        }

        void add(JobEntry other) {
            for (SliceEntry slice : other.slices()) {
                int pendingCount = slice.value().pendingCount();
                if (pendingCount > 0) {
                    add(other, slice, pendingCount);
                }
            }
        }

        private void add(JobEntry other, SliceEntry slice, int pendingCount) {
            String owner = Partitioner.ownerOf(replica.partitionMap(), slice.key(), slice.value());
            int partition = PartitionCapacity.indexOf(members, owner);
            double tasksEach = other.job().cpus() / Math.max(MIN_CPUS_PER_TASK, job.cpus());
            pending[partition] += pendingCount * tasksEach;
            if (countsStartable && capacities[partition] > 0) {
                startable[partition] += Math.min(pendingCount, startableCount(other, partition)) * tasksEach;
            }
        }

        /**
         * Returns how many of the other job's tasks could start in the partition now, by its machines and the quota.
         */
        private int startableCount(JobEntry other, int partition) {
            int byMachines = capacity.byPartition(other.job(), other.requirements())[partition];
            int byQuota = quota.capacityFor(other.job(), members.get(partition).name());
            return Math.max(0, Math.min(byMachines, byQuota));
        }
    }
}
