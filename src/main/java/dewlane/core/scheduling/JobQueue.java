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

/** The jobs with work for this controller, in the order in which they are served. */
public final class JobQueue {
    /**
     * Jobs in the order in which they are served.
     *
     * @param jobs the jobs with work for this controller
     * @param guaranteed ids of the ready jobs of all controllers that are within their team's guarantee
     */
    record Order(List<JobEntry> jobs, Set<String> guaranteed) {}

    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final DependencyGraph dependencies;
    private final QuotaEnforcer quota;
    private final PartitionOwnership ownership;
    private final ControllerCounters counters;

    /** Orders the jobs that the dependency graph calls ready. */
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

    /** Jobs that can never run, as one on which they depend was cancelled. */
    List<JobEntry> failedJobs() {
        return withRecord(dependencies.failed());
    }

    /**
     * The order of one cycle: by ready order, but served first if within their team's guarantee, and then by priority.
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
