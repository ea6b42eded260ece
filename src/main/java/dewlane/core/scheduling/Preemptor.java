package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.Machine.AssignedAttempt;
import dewlane.core.fleet.Machine.AttemptId;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
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
    void begin(List<Machine> usableNow, Set<String> guaranteedNow) {
        usable = usableNow;
        guaranteed = guaranteedNow;
        coming.clear();
        hopeless.clear();
        keeping.forEach(m -> m.kept = null);
        keeping.clear();
        for (Machine m : usable) {
            for (AttemptId key : m.stops.keySet()) {
                AssignedAttempt l = m.live.get(key);
                if (l != null && !l.over) {
                    free(m, l.job.job());
                }
            }
        }
    }

    /** Room on the machine once the stops under way have ended. */
    private void free(Machine m, Job job) {
        coming.computeIfAbsent(m, k -> new ResourceUsage(k.use)).remove(job);
    }

    private ResourceUsage after(Machine m) {
        return coming.getOrDefault(m, m.use);
    }

    /** Keeps room for up to the given number of tasks, and stops what may be stopped for the rest. */
    void makeRoom(JobEntry job, int tasks) {
        Job spec = job.job();
        if (tasks < 1 || spec.placesLinked() || ageS(job) < patienceS(job)) {
            return;
        }
        Claim claim = new Claim(job.shape(), job.priority(), guaranteed.contains(job.id), spec.team());
        if (hopeless.contains(claim)) {
            return;
        }
        PriorityQueue<Offer> offers = new PriorityQueue<>(Comparator.comparingDouble(Offer::loss));
        int n = usable.size();
        int offset = n > SAMPLE ? context.random().nextInt(n) : 0;
        for (int i = 0; i < Math.min(n, SAMPLE); i++) {
            offer(usable.get((offset + i) % n), job, offers);
        }
        for (int i = 0; i < tasks; i++) {
            Offer best = offers.poll();
            if (best == null) {
                hopeless.add(claim);
                return;
            }
            Machine m = best.machine;
            for (AssignedAttempt v : best.victims) {
                Job lost = v.job.job();
                context.debug("stopping " + v.job.id + "/" + v.attempt.task() + " on " + m.name + " for " + job.id);
                m.stops.put(v.key, lost.checkpointS() > 0 ? lost.saveS() + 1 : 0);
                free(m, lost);
            }
            machines.touch(m);
            // Nobody further down the order gets this room in the meantime.
            coming.computeIfAbsent(m, k -> new ResourceUsage(k.use)).add(spec);
            m.keep(spec);
            keeping.add(m);
            offer(m, job, offers);
        }
    }

    /** What it costs to make room for one more task on the machine. */
    private void offer(Machine m, JobEntry job, PriorityQueue<Offer> offers) {
        Job spec = job.job();
        MachineType type = machines.type(m);
        if (!spec.allows(m.type, m.zone, m.spot) || !type.holds(job.shape())) {
            return;
        }
        List<AssignedAttempt> victims = after(m).room(type, spec) > 0 ? List.of() : victims(m, type, job);
        if (victims != null) {
            offers.add(new Offer(m, victims, loss(victims)));
        }
    }

    /** Seconds for which the job has been waiting or running; not those in which it awaited others. */
    private double ageS(JobEntry job) {
        return (context.wall() - job.waitsSinceMs()) / 1000.0;
    }

    /** How long the job waits before it stops others, by what its users expect of its start and end. */
    private double patienceS(JobEntry entry) {
        Job job = entry.job();
        Settings aims = context.settings();
        double may = Math.min(aims.within("wait", job.lot()), aims.within("finished", job.lot()));
        if (guaranteed.contains(entry.id)) {
            may = Math.min(may, aims.within("guarantee", job.lot()));
        }
        if (entry.deadlineMs() != JobEntry.NO_DEADLINE) {
            may = Math.min(may, (entry.deadlineMs() - entry.waitsSinceMs()) / 1000.0 - job.estimateS());
        }
        return Math.min(30, Math.max(1, PATIENCE * may));
    }

    /** The tasks whose stop costs least and makes room on the machine, or null. */
    private List<AssignedAttempt> victims(Machine m, MachineType type, JobEntry job) {
        List<AssignedAttempt> may = new ArrayList<>();
        for (AssignedAttempt l : m.live.values()) {
            if (!l.over && !m.stops.containsKey(l.key) && m.reported.containsKey(l.key) && mayStop(l, job)) {
                may.add(l);
            }
        }
        may.sort(Comparator.comparingDouble(this::loss));
        ResourceUsage left = new ResourceUsage(after(m));
        List<AssignedAttempt> chosen = new ArrayList<>();
        for (AssignedAttempt l : may) {
            chosen.add(l);
            left.remove(l.job.job());
            if (left.room(type, job.job()) > 0) {
                return chosen;
            }
        }
        return null;
    }

    private boolean mayStop(AssignedAttempt l, JobEntry job) {
        Job theirs = l.job.job();
        if (l.job.aborted() || ageS(l.job) > SPARE * context.settings().within("finished", theirs.lot())) {
            return false;
        }
        if (l.job.priority().compareTo(job.priority()) < 0) {
            return true;
        }
        return guaranteed.contains(job.id)
                && !guaranteed.contains(l.job.id)
                && !theirs.team().equals(job.job().team())
                && quota.borrows(theirs);
    }

    private double loss(List<AssignedAttempt> lives) {
        double sum = 0;
        for (AssignedAttempt l : lives) {
            sum += loss(l);
        }
        return sum;
    }

    /** CPU seconds that are lost when the task is stopped now. */
    private double loss(AssignedAttempt l) {
        Job job = l.job.job();
        double ran = (context.wall() - l.attempt.launchedMs()) / 1000.0;
        return job.cpus() * (1 + (job.checkpointS() > 0 ? Math.min(ran, job.saveS()) : ran));
    }
}
