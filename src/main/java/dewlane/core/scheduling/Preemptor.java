package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.Priority;
import dewlane.core.model.ResourceUsage;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.store.JobEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Stops tasks to make room for a job of higher priority, or for one within its team's guarantee if they are borrowed
 * work of another team. It weighs the work that is lost, and keeps the room for the job that it was made for.
 */
final class Preemptor {
    /** The part of the time it may wait for which a job waits for room to come by itself. */
    private static final double PATIENCE = 0.3;
    /** A task is left alone once its job has used this part of the time in which it should be done. */
    private static final double SPARE = 0.5;

    private static final int SAMPLE = 64;

    private record Offer(Machine machine, List<AssignedAttempt> victims, double loss) {}

    /** Jobs with the same claim may stop the same tasks. */
    private record Claim(Job.Requirements shape, Priority priority, boolean guaranteed, String team) {}

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final QuotaEnforcer quota;
    private List<Machine> usable = List.of();
    private Set<String> guaranteed = Set.of();
    /** What is in use once the stops under way have ended, with the room that is kept for those they were made for. */
    private final Map<Machine, ResourceUsage> coming = new HashMap<>();

    private final List<Machine> keeping = new ArrayList<>();
    /** Claims for which this pass found nothing to stop. */
    private final Set<Claim> hopeless = new HashSet<>();

    Preemptor(ControllerContext context, MachineRegistry machines, QuotaEnforcer quota) {
        this.context = context;
        this.machines = machines;
        this.quota = quota;
    }

    /** Begins a pass over all jobs, those with the first claim first. */
    void beginCycle(List<Machine> usableNow, Set<String> guaranteedNow) {
        usable = usableNow;
        guaranteed = guaranteedNow;
        coming.clear();
        hopeless.clear();
        keeping.forEach(Machine::clearReservations);
        keeping.clear();
        for (Machine machine : usable) {
            for (AttemptId id : machine.commands().preempted()) {
                AssignedAttempt assigned = machine.attempt(id);
                if (assigned != null && !assigned.hasEnded()) {
                    markPreempted(machine, assigned.job().job());
                }
            }
        }
    }

    /** Room on the machine once the stops under way have ended. */
    private void markPreempted(Machine machine, Job job) {
        coming.computeIfAbsent(machine, k -> new ResourceUsage(k.usage())).remove(job);
    }

    private ResourceUsage usageAfterPreemption(Machine machine) {
        return coming.getOrDefault(machine, machine.usage());
    }

    /** Keeps room for up to the given number of tasks, and stops what may be stopped for the rest. */
    void makeRoom(JobEntry job, int tasks) {
        Job spec = job.job();
        if (tasks < 1 || spec.hasZoneConstraint() || ageS(job) < patienceS(job)) {
            return;
        }
        Claim claim = new Claim(job.requirements(), job.priority(), guaranteed.contains(job.id()), spec.team());
        if (hopeless.contains(claim)) {
            return;
        }
        PriorityQueue<Offer> offers = new PriorityQueue<>(Comparator.comparingDouble(Offer::loss));
        int n = usable.size();
        int offset = n > SAMPLE ? context.random().nextInt(n) : 0;
        for (int i = 0; i < Math.min(n, SAMPLE); i++) {
            addOption(usable.get((offset + i) % n), job, offers);
        }
        for (int i = 0; i < tasks; i++) {
            Offer best = offers.poll();
            if (best == null) {
                hopeless.add(claim);
                return;
            }
            Machine machine = best.machine;
            for (AssignedAttempt victim : best.victims) {
                Job lost = victim.job().job();
                context.debug("stopping " + victim.job().id() + "/"
                        + victim.attempt().task() + " on " + machine.name() + " for " + job.id());
                machine.commands()
                        .preempt(victim.id(), lost.checkpointIntervalS() > 0 ? lost.checkpointDurationS() + 1 : 0);
                markPreempted(machine, lost);
            }
            machines.markChanged(machine);
            // Nobody further down the order gets this room in the meantime.
            coming.computeIfAbsent(machine, k -> new ResourceUsage(k.usage())).add(spec);
            machine.reserve(spec);
            keeping.add(machine);
            addOption(machine, job, offers);
        }
    }

    /** What it costs to make room for one more task on the machine. */
    private void addOption(Machine machine, JobEntry job, PriorityQueue<Offer> offers) {
        Job spec = job.job();
        MachineType type = machines.type(machine);
        if (!spec.allows(machine.typeName(), machine.zone(), machine.isSpot()) || !type.fits(job.requirements())) {
            return;
        }
        List<AssignedAttempt> victims =
                usageAfterPreemption(machine).capacityFor(type, spec) > 0 ? List.of() : victims(machine, type, job);
        if (victims != null) {
            offers.add(new Offer(machine, victims, loss(victims)));
        }
    }

    /** Seconds for which the job has been waiting or running; not those in which it awaited others. */
    private double ageS(JobEntry job) {
        return (context.wallClockMs() - job.waitingSinceMs()) / 1000.0;
    }

    /** How long the job waits before it stops others, by what its users expect of its start and end. */
    private double patienceS(JobEntry entry) {
        Job job = entry.job();
        Settings aims = context.settings();
        double may = Math.min(aims.objectiveS("wait", job.jobClass()), aims.objectiveS("finished", job.jobClass()));
        if (guaranteed.contains(entry.id())) {
            may = Math.min(may, aims.objectiveS("guarantee", job.jobClass()));
        }
        if (entry.deadlineMs() != JobEntry.NO_DEADLINE) {
            may = Math.min(may, (entry.deadlineMs() - entry.waitingSinceMs()) / 1000.0 - job.expectedRunS());
        }
        return Math.min(30, Math.max(1, PATIENCE * may));
    }

    /** The tasks whose stop costs least and makes room on the machine, or null. */
    private List<AssignedAttempt> victims(Machine machine, MachineType type, JobEntry job) {
        List<AssignedAttempt> may = new ArrayList<>();
        for (AssignedAttempt assigned : machine.attempts()) {
            if (!assigned.hasEnded()
                    && !machine.commands().isPreempted(assigned.id())
                    && machine.worker().reports(assigned.id())
                    && mayPreempt(assigned, job)) {
                may.add(assigned);
            }
        }
        may.sort(Comparator.comparingDouble(this::loss));
        ResourceUsage left = new ResourceUsage(usageAfterPreemption(machine));
        List<AssignedAttempt> chosen = new ArrayList<>();
        for (AssignedAttempt assigned : may) {
            chosen.add(assigned);
            left.remove(assigned.job().job());
            if (left.capacityFor(type, job.job()) > 0) {
                return chosen;
            }
        }
        return null;
    }

    private boolean mayPreempt(AssignedAttempt assigned, JobEntry job) {
        Job theirs = assigned.job().job();
        if (assigned.job().isCancelled()
                || ageS(assigned.job()) > SPARE * context.settings().objectiveS("finished", theirs.jobClass())) {
            return false;
        }
        if (assigned.job().priority().compareTo(job.priority()) < 0) {
            return true;
        }
        return guaranteed.contains(job.id())
                && !guaranteed.contains(assigned.job().id())
                && !theirs.team().equals(job.job().team())
                && quota.exceedsGuarantee(theirs);
    }

    private double loss(List<AssignedAttempt> lives) {
        double sum = 0;
        for (AssignedAttempt assigned : lives) {
            sum += loss(assigned);
        }
        return sum;
    }

    /** CPU seconds that are lost when the task is stopped now. */
    private double loss(AssignedAttempt assigned) {
        Job job = assigned.job().job();
        double ran = (context.wallClockMs() - assigned.attempt().launchedAtMs()) / 1000.0;
        return job.cpus() * (1 + (job.checkpointIntervalS() > 0 ? Math.min(ran, job.checkpointDurationS()) : ran));
    }
}
