package dewlane.core.scheduling;

import dewlane.core.fleet.ForgetFence;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Plans where a job's pending tasks run: they are launched on machines of this partition, or handed over to another
 * partition with capacity. If neither is possible, tasks of other jobs are preempted to make capacity.
 */
public final class LaunchPlanner {
    /** Keeps one transaction below 64 KiB. Further attempts are written by the next transaction. */
    private static final int MAX_ATTEMPTS_PER_WRITE = 900;

    private final PartitionOwnership ownership;
    private final QuotaEnforcer quota;
    private final CandidateFinder candidateFinder;
    private final SliceLauncher launcher;
    private final SliceHandover handover;
    private final Preemptor preemptor;
    /** Requirements for which no machine has capacity in this cycle. */
    private final Set<Job.Requirements> withoutCapacity = new HashSet<>();

    /** Creates a planner of launches on the registry's machines and handovers to the selected partitions. */
    public LaunchPlanner(
            ControllerContext context,
            PartitionOwnership ownership,
            MachineRegistry machines,
            QuotaEnforcer quota,
            PartitionSelector partitions,
            ControllerCounters counters) {
        this.ownership = ownership;
        this.quota = quota;
        this.candidateFinder = new CandidateFinder(context, machines, counters);
        this.launcher = new SliceLauncher(context, machines, new ForgetFence(context, counters));
        this.handover = new SliceHandover(context, partitions, counters);
        this.preemptor = new Preemptor(context, machines, quota);
    }

    /** Begins a cycle with the scanned machines and the ids of the jobs within their team's guarantee. */
    void beginCycle(MachineScan scan, Set<String> guaranteed) {
        withoutCapacity.clear();
        candidateFinder.beginCycle(scan.machinesWithCapacity());
        preemptor.beginCycle(scan.schedulableMachines(), guaranteed);
    }

    /** Adds launches or handovers of the job's pending tasks to the update, and preempts other tasks if needed. */
    void plan(JobUpdate update) {
        int attempts = update.attemptCount();
        for (SliceEntry slice : update.job().slices()) {
            int maxAttempts = MAX_ATTEMPTS_PER_WRITE - attempts;
            if (maxAttempts <= 0) {
                return;
            }
            Slice value = update.value(slice);
            if (value.pendingCount() > 0 && ownership.ownsSlice(slice, value) && update.mayChange(slice)) {
                planSlice(update, slice, maxAttempts);
                attempts += update.value(slice).attempts().size();
            }
        }
    }

    private void planSlice(JobUpdate update, SliceEntry slice, int maxAttempts) {
        JobEntry job = update.job();
        boolean isFirst = !update.hasLaunches();
        int pending = update.value(slice).pendingCount();
        List<MachineCandidate> candidates = findCandidates(job);
        int maxTasks = Math.min(pending, Math.min(maxAttempts, quota.capacityFor(job.job())));
        SliceLauncher.Result result = launcher.launch(update, slice, candidates, maxTasks);
        int remaining = pending - result.count();
        boolean lacksCapacity = remaining > 0 && result.count() < maxTasks && !result.sliceFull();
        if (lacksCapacity && isFirst && result.count() == 0) {
            recordLackOfCapacity(update);
        }
        boolean handedOver = remaining > 0
                && !update.hasLaunches()
                && quota.hasTeamCapacity(job.job())
                && handover.tryHandOver(update, slice);
        if (handedOver) {
            update.requireJobAndMap();
        } else if (lacksCapacity) {
            preemptor.makeCapacity(job, Math.min(remaining, quota.capacityFor(job.job())));
        }
    }

    private List<MachineCandidate> findCandidates(JobEntry job) {
        return withoutCapacity.contains(job.requirements()) ? List.of() : candidateFinder.find(job);
    }

    /**
     * Records that no machine has capacity for the job's requirements. Capacity only shrinks during a cycle, so other
     * jobs with the same requirements skip the search. Jobs with zone constraints or failed tasks are excluded, because
     * machines with capacity may be ruled out for these jobs alone.
     */
    private void recordLackOfCapacity(JobUpdate update) {
        JobEntry job = update.job();
        if (!job.job().hasZoneConstraint() && update.progress().failureCount() == 0) {
            withoutCapacity.add(job.requirements());
        }
    }
}
