package dewlane.core.scheduling;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Goes through the machines of this part and the jobs that are not over, in the order in which jobs are served, and has
 * {@link JobWriter} say what there is to say of each.
 */
public final class SchedulingCycle {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final DependencyGraph release;
    private final QuotaEnforcer quota;
    private final JobWriter writer;
    private final LaunchPlanner planner;
    private final SliceGarbageCollector cleaner;
    private final ControllerCounters counters;
    private final String self;
    private List<Machine> schedulableMachines = List.of();
    /** Usable machines that are not full. */
    private final List<Machine> machinesWithCapacity = new ArrayList<>();

    public SchedulingCycle(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            DependencyGraph release,
            QuotaEnforcer quota,
            JobWriter writer,
            LaunchPlanner planner,
            SliceGarbageCollector cleaner,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.release = release;
        this.quota = quota;
        this.writer = writer;
        this.planner = planner;
        this.cleaner = cleaner;
        this.counters = counters;
        this.self = context.settings().controllerName();
    }

    /** True if the machine, which must be of this part, can be given tasks. */
    public boolean isSchedulable(Machine machine) {
        return !machine.lifecycle().isScalingIn()
                && machine.typeName() != null
                && machines.type(machine) != null
                && !machine.lifecycle().isTerminationScheduled()
                && !machine.reachability().isSuspected()
                && machine.reachability()
                        .confirmedWithin(context.nowMs(), context.settings().heartbeatTimeoutMs())
                && sendsHeartbeats(machine)
                && (machine.failedJobs().isEmpty() || !machines.isFaulty(machine))
                && !replica.decommissionsByMachine().containsKey(machine.name());
    }

    /**
     * A machine that answers commands but whose reports do not come loses all its tasks when its lease ends. One that
     * has just got this owner has some time to find it.
     */
    private boolean sendsHeartbeats(Machine machine) {
        return context.nowMs() - Math.max(machine.reachability().reportedAt(), machine.ownerSinceMs())
                < context.settings().workerLeaseS() * 500;
    }

    /** Machines of this part that take tasks, as of the latest pass. */
    public List<Machine> schedulableMachines() {
        return schedulableMachines;
    }

    /** Looks at all jobs for what can be written, at the machines of this part, and at no other. */
    public void run() {
        machines.progress().reconcile();
        if (!membership.isMember()) {
            schedulableMachines = List.of();
            return;
        }
        surveyMachines();
        List<JobEntry> order = readyJobs();
        counters.increment(Counter.SCHEDULING_CYCLES);
        counters.add(Counter.JOBS_CONSIDERED, order.size());
        for (String id : List.copyOf(release.failed())) {
            JobEntry job = replica.job(id);
            if (job != null && job.job() != null) {
                writer.writeNext(job, false);
            }
        }
        Set<String> guaranteed = quota.withinGuarantee(order);
        order.removeIf(j -> !hasWork(j));
        order.sort(Comparator.comparing((JobEntry j) -> guaranteed.contains(j.id()))
                .thenComparing(JobEntry::priority)
                .reversed());
        planner.beginCycle(schedulableMachines, machinesWithCapacity, guaranteed);
        boolean launches = membership.reachesStore();
        for (JobEntry job : order) {
            writer.writeNext(job, launches);
        }
        cleaner.collect();
    }

    private void surveyMachines() {
        schedulableMachines = new ArrayList<>();
        machinesWithCapacity.clear();
        for (Machine machine : machines.owned()) {
            if (isSchedulable(machine)) {
                schedulableMachines.add(machine);
                if (machine.usage().cpus() < machines.type(machine).cpus()) {
                    machinesWithCapacity.add(machine);
                }
            }
            if (machine.lifecycle().isTerminationScheduled()) {
                checkpointBeforeTermination(machine);
            }
            if (!machine.attempts().isEmpty() && machines.isTerminated(machine.name())) {
                recordTerminated(machine);
            }
        }
    }

    private List<JobEntry> readyJobs() {
        List<JobEntry> order = new ArrayList<>();
        for (String id : release.ready()) {
            JobEntry job = replica.job(id);
            if (job != null && job.job() != null) {
                order.add(job);
            }
        }
        return order;
    }

    private boolean hasWork(JobEntry job) {
        JobProgress work = machines.progress().get(job.id());
        if (work != null && work.hasOutcomes()) {
            return true;
        }
        for (SliceEntry slice : job.slices()) {
            if (slice.value().pendingCount() > 0 && ownsSlice(slice, slice.value())) {
                return true;
            }
        }
        return job.isComplete();
    }

    private boolean ownsSlice(SliceEntry slice, Slice value) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), slice.key(), value));
    }

    /** All that was on a machine that is proven gone is gone. */
    private void recordTerminated(Machine machine) {
        for (AssignedAttempt assigned : machine.attempts()) {
            machines.progress().getOrCreate(assigned.job().id()).recordOutcome(assigned, Outcome.GONE, context.nowMs());
        }
    }

    /** Tasks on a machine that is soon taken away save as late as is safe. */
    private void checkpointBeforeTermination(Machine machine) {
        for (AssignedAttempt assigned : machine.attempts()) {
            Job job = assigned.job().job();
            if (job.checkpointIntervalS() > 0
                    && machine.lifecycle().msUntilTermination(context.nowMs()) < (job.checkpointDurationS() + 5) * 1000
                    && machine.commands().preempt(assigned.id(), job.checkpointDurationS() + 1)) {
                machines.markChanged(machine);
            }
        }
    }
}
