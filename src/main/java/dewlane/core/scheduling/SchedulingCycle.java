package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.Machine.AssignedAttempt;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
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
    private List<Machine> usable = List.of();
    /** Usable machines that are not full. */
    private final List<Machine> free = new ArrayList<>();

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
        this.self = context.settings().node();
    }

    /** True if the machine, which must be of this part, can be given tasks. */
    public boolean takesTasks(Machine m) {
        return !m.leaving
                && m.type != null
                && machines.type(m) != null
                && m.takenAt == 0
                && !m.reachability.isSuspected()
                && m.reachability.confirmedWithin(
                        context.now(), context.settings().heardMs())
                && reports(m)
                && (m.failedJobs.isEmpty() || !machines.faulty(m))
                && !replica.machines().containsKey(m.name);
    }

    /**
     * A machine that answers commands but whose reports do not come loses all its tasks when its lease ends. One that
     * has just got this owner has some time to find it.
     */
    private boolean reports(Machine m) {
        return context.now() - Math.max(m.reachability.reportedAt(), m.ownerSince)
                < context.settings().leaseS() * 500;
    }

    /** Machines of this part that take tasks, as of the latest pass. */
    public List<Machine> usable() {
        return usable;
    }

    /** Looks at all jobs for what can be written, at the machines of this part, and at no other. */
    public void pass() {
        machines.progress().settle();
        if (!membership.joined()) {
            usable = List.of();
            return;
        }
        lookAtMachines();
        List<JobEntry> order = readyJobs();
        counters.passes++;
        counters.jobsLookedAt += order.size();
        for (String id : List.copyOf(release.failed())) {
            JobEntry job = replica.job(id);
            if (job != null && job.job() != null) {
                writer.step(job, false);
            }
        }
        Set<String> guaranteed = quota.guaranteed(order);
        order.removeIf(j -> !hasToDo(j));
        order.sort(Comparator.comparing((JobEntry j) -> guaranteed.contains(j.id))
                .thenComparing(JobEntry::priority)
                .reversed());
        planner.begin(usable, free, guaranteed);
        boolean launches = membership.reachesState();
        for (JobEntry job : order) {
            writer.step(job, launches);
        }
        cleaner.pass();
    }

    private void lookAtMachines() {
        usable = new ArrayList<>();
        free.clear();
        for (Machine m : machines.own()) {
            if (takesTasks(m)) {
                usable.add(m);
                if (m.use.cpus() < machines.type(m).cpus()) {
                    free.add(m);
                }
            }
            if (m.takenAt != 0) {
                saveInTime(m);
            }
            if (!m.live.isEmpty() && machines.isGone(m.name)) {
                takeProof(m);
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

    private boolean hasToDo(JobEntry job) {
        JobProgress work = machines.progress().known(job.id);
        if (work != null && !work.outcomes.isEmpty()) {
            return true;
        }
        for (SliceEntry s : job.slices()) {
            if (s.value().waiting() > 0 && ownsSlice(s, s.value())) {
                return true;
            }
        }
        return job.complete();
    }

    private boolean ownsSlice(SliceEntry slice, Slice value) {
        return self.equals(Partitioner.owner(replica.map(), slice.key, value));
    }

    /** All that was on a machine that is proven gone is gone. */
    private void takeProof(Machine m) {
        for (AssignedAttempt l : m.live.values()) {
            record(machines.progress().of(l.job.id), l, Outcome.GONE);
        }
    }

    /** Notes an outcome that is to be made durable; true if it is the first for the attempt. */
    public boolean record(JobProgress work, AssignedAttempt live, Outcome outcome) {
        work.gather(live.slice.number, context.now());
        return work.outcomes.putIfAbsent(live.key, outcome) == null;
    }

    /** Tasks on a machine that is soon taken away save as late as is safe. */
    private void saveInTime(Machine m) {
        for (AssignedAttempt l : m.live.values()) {
            Job job = l.job.job();
            if (job.checkpointS() > 0
                    && m.takenAt - context.now() < (job.saveS() + 5) * 1000
                    && m.stops.putIfAbsent(l.key, job.saveS() + 1) == null) {
                machines.touch(m);
            }
        }
    }
}
