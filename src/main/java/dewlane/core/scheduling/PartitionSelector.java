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

/** Ranks the partitions for a job's tasks, by their capacity and what is pending there already. */
public final class PartitionSelector {
    /**
     * How long a job leaves the capacity of a partition to all that is pending there, even to what cannot use it yet.
     */
    private static final long YIELD_PERIOD_MS = 30_000;

    private static final double MIN_CPUS_PER_TASK = 0.001;

    /** Jobs with the same demand have the same candidates. */
    private record Demand(Job.Requirements requirements, Priority priority, String team, boolean waitedLong) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final PartitionCapacity capacity;
    private final QuotaEnforcer quota;
    private final DependencyGraph dependencies;
    private final Map<Demand, List<PartitionCandidate>> cache = new HashMap<>();
    /** The generation of the capacity that the cached candidates were made from. */
    private long cacheGeneration;

    /** Ranks the partitions of the replica's map. */
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

    /** All partitions for a new job, the one with the largest net capacity first; never empty. */
    List<PartitionCandidate> forNewJob(Job job) {
        return candidates(job, new Demand(job.requirements(), job.priority(), job.team(), false));
    }

    /** The best partition with capacity for the pending job other than that of the given controller. */
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
            // Large tasks need all capacity that becomes free; but a job that has waited for long leaves others no more
            // than they can use now, or it would wait beside free capacity for good.
            double startable =
                    demand.waitedLong() ? Math.min(capacities[i] - competing.startable[i], quotaCapacity) : netCapacity;
            candidates.add(new PartitionCandidate(controller, (int) Math.max(0, Math.floor(startable)), netCapacity));
        }
        candidates.sort(
                Comparator.comparingDouble(PartitionCandidate::netCapacity).reversed());
        return candidates;
    }

    /**
     * What the pending tasks of other jobs need of each partition, in tasks of the job in question. Arrays are in the
     * order of the map's members.
     */
    private final class CompetingDemand {
        private final Job job;
        private final List<Member> members;
        private final int[] capacities;
        private final boolean countsStartable;
        private final double[] pending;
        /** What of the pending tasks could start now; counted on demand only. */
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

        /** How many of the other job's tasks could start in the partition now, by machines and quota. */
        private int startableCount(JobEntry other, int partition) {
            int byMachines = capacity.byPartition(other.job(), other.requirements())[partition];
            int byQuota = quota.capacityFor(other.job(), members.get(partition).name());
            return Math.max(0, Math.min(byMachines, byQuota));
        }
    }
}
