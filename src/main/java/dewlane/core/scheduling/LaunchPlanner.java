package dewlane.core.scheduling;

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
 * Plans what becomes of a job's pending tasks: they are launched on machines of this partition, or handed over to
 * another partition with capacity, or tasks are preempted for them where neither helps.
 */
public final class LaunchPlanner {
    /** Attempts in one write, which must stay below 64 KiB; the rest follows in the next. */
    private static final int MAX_ATTEMPTS_PER_WRITE = 900;

    private final PartitionOwnership ownership;
    private final QuotaEnforcer quota;
    private final CandidateFinder candidateFinder;
    private final SliceLauncher launcher;
    private final SliceHandover handover;
    private final Preemptor preemptor;
    /** Requirements for which no machine had capacity in this cycle. */
    private final Set<Job.Requirements> withoutCapacity = new HashSet<>();

    /** Plans launches on the registry's machines and handovers to the selected partitions. */
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
        this.launcher = new SliceLauncher(context, machines);
        this.handover = new SliceHandover(context, partitions, counters);
        this.preemptor = new Preemptor(context, machines, quota);
    }

    /** Begins a cycle with the machines of the survey and the ids of the jobs within their team's guarantee. */
    void beginCycle(MachineScan survey, Set<String> guaranteed) {
        withoutCapacity.clear();
        candidateFinder.beginCycle(survey.machinesWithCapacity());
        preemptor.beginCycle(survey.schedulableMachines(), guaranteed);
    }

    /** Adds launches or handovers of the job's pending tasks to the update. */
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
        boolean lacksMachines = remaining > 0 && result.count() < maxTasks && !result.sliceFull();
        if (lacksMachines && isFirst && result.count() == 0) {
            noteLackOfCapacity(update);
        }
        boolean handedOver = remaining > 0
                && !update.hasLaunches()
                && quota.hasTeamCapacity(job.job())
                && handover.tryHandOver(update, slice);
        if (handedOver) {
            update.requireJobAndMap();
        } else if (lacksMachines) {
            preemptor.makeCapacity(job, Math.min(remaining, quota.capacityFor(job.job())));
        }
    }

    private List<MachineCandidate> findCandidates(JobEntry job) {
        return withoutCapacity.contains(job.requirements()) ? List.of() : candidateFinder.find(job);
    }

    /** Capacity only shrinks during a cycle, so further jobs with the same requirements need not look for it. */
    private void noteLackOfCapacity(JobUpdate update) {
        JobEntry job = update.job();
        if (!job.job().hasZoneConstraint() && update.progress().failureCount() == 0) {
            withoutCapacity.add(job.requirements());
        }
    }
}
