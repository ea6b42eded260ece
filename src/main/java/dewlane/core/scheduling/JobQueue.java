package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Determines for which jobs this controller has something to do, and in which order they are scheduled. */
public final class JobQueue {
    /**
     * Jobs in scheduling order.
     *
     * @param jobs the jobs for which this controller has something to do
     * @param guaranteed ids of all ready jobs within their team's guarantee, also of those that only other controllers
     *     work on
     */
    record Order(List<JobEntry> jobs, Set<String> guaranteed) {}

    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final DependencyGraph dependencies;
    private final QuotaEnforcer quota;
    private final PartitionOwnership ownership;
    private final ControllerCounters counters;

    /** Creates a queue of the jobs that are ready according to the dependency graph. */
    public JobQueue(
            StoreReplica replica,
            MachineRegistry machines,
            DependencyGraph dependencies,
            QuotaEnforcer quota,
            PartitionOwnership ownership,
            ControllerCounters counters) {
        this.replica = replica;
        this.machines = machines;
        this.dependencies = dependencies;
        this.quota = quota;
        this.ownership = ownership;
        this.counters = counters;
    }

    /** Returns the jobs that failed in the dependency graph: they, or jobs on which they depend, were cancelled. */
    List<JobEntry> failedJobs() {
        return withRecord(dependencies.failed());
    }

    /**
     * Returns the order for one cycle: jobs within their team's guarantee first, then by priority, and otherwise in the
     * order in which they became ready.
     */
    Order order() {
        List<JobEntry> jobs = withRecord(dependencies.ready());
        counters.increment(Counter.SCHEDULING_CYCLES);
        counters.add(Counter.JOBS_CONSIDERED, jobs.size());
        Set<String> guaranteed = quota.jobsWithinGuarantee(jobs);
        jobs.removeIf(job -> !hasWork(job));
        jobs.sort(Comparator.comparing((JobEntry job) -> guaranteed.contains(job.id()))
                .thenComparing(JobEntry::priority)
                .reversed());
        return new Order(jobs, guaranteed);
    }

    private List<JobEntry> withRecord(Collection<String> ids) {
        List<JobEntry> jobs = new ArrayList<>();
        for (String id : ids) {
            JobEntry job = replica.activeJob(id);
            if (job != null) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    /**
     * Returns true if this controller has outcomes to write or owns pending tasks of the job, or the job is complete.
     */
    private boolean hasWork(JobEntry job) {
        JobProgress progress = machines.progress().get(job.id());
        if (progress != null && progress.hasOutcomes()) {
            return true;
        }
        for (SliceEntry slice : job.slices()) {
            if (slice.value().pendingCount() > 0 && ownership.ownsSlice(slice, slice.value())) {
                return true;
            }
        }
        return job.isComplete();
    }
}
