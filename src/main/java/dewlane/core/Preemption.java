package dewlane.core;

import dewlane.core.Machine.Live;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stops tasks to make room for a job of higher priority, or for one within its team's guarantee if they are borrowed
 * work of another team. It weighs the work that is lost, and keeps the room for the job that it was made for.
 */
final class Preemption {
    /** The part of the time it may wait for which a job waits for room to come by itself. */
    private static final double PATIENCE = 0.3;
    /** A task is left alone once its job has used this part of the time in which it should be done. */
    private static final double SPARE = 0.5;

    /** Jobs with the same claim may stop the same tasks. */
    private record Claim(Job.Shape shape, Priority priority, boolean guaranteed, String team) { }

    private final Context context;
    private final Machines machines;
    private final Quota quota;
    private List<Machine> usable = List.of();
    private Set<String> guaranteed = Set.of();
    /** Room that stops under way will leave: CPUs, GPUs, memory. */
    private final Map<Machine, double[]> coming = new HashMap<>();
    /** Claims for which this pass found nothing to stop. */
    private final Set<Claim> hopeless = new HashSet<>();

    Preemption(Context context, Machines machines, Quota quota) {
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
        for (Machine m : usable) {
            for (Live l : m.live) {
                if (m.stops.containsKey(l.key())) {
                    free(m, l.job().job());
                }
            }
        }
    }

    private void free(Machine m, Job job) {
        double[] room = coming.computeIfAbsent(m, k -> new double[3]);
        room[0] += job.cpus();
        room[1] += job.gpus();
        room[2] += job.memoryGb();
    }

    /** Keeps room for up to the given number of tasks, and stops what may be stopped for the rest. */
    void makeRoom(Replica.JobEntry job, int tasks) {
        Job spec = job.job();
        if (spec.placesLinked() || ageS(spec) < patienceS(job)) {
            return;
        }
        Claim claim = new Claim(spec.shape(), spec.priority(), guaranteed.contains(job.id), spec.team());
        if (hopeless.contains(claim)) {
            return;
        }
        for (int i = 0; i < tasks; i++) {
            Machine best = null;
            List<Live> victims = List.of();
            double bestLoss = Double.MAX_VALUE;
            for (Machine m : usable) {
                if (!spec.allows(m.type, m.zone, m.spot) || machines.type(m.type).fits(spec) < 1) {
                    continue;
                }
                List<Live> chosen = fits(m, spec, List.of()) ? List.of() : victims(m, job);
                if (chosen != null && loss(chosen) < bestLoss) {
                    best = m;
                    victims = chosen;
                    bestLoss = loss(chosen);
                }
            }
            if (best == null) {
                hopeless.add(claim);
                return;
            }
            for (Live v : victims) {
                Job lost = v.job().job();
                context.debug("stopping " + v.job().id + "/" + v.attempt().task() + " on " + best.name + " for " + job.id);
                best.stops.put(v.key(), lost.checkpointS() > 0 ? lost.saveS() + 1 : 0);
                free(best, lost);
            }
            // Nobody further down the order gets this room in the meantime.
            best.use(spec);
        }
    }

    private double ageS(Job job) {
        return (context.wall() - job.acceptedMs()) / 1000.0;
    }

    /** How long the job waits before it stops others, by what its users expect of its start and end. */
    private double patienceS(Replica.JobEntry entry) {
        Job job = entry.job();
        Settings aims = context.settings();
        double may = Math.min(aims.within("wait", job.lot()), aims.within("finished", job.lot()));
        if (guaranteed.contains(entry.id)) {
            may = Math.min(may, aims.within("guarantee", job.lot()));
        }
        if (job.deadlineS() > 0) {
            may = Math.min(may, job.deadlineS() - job.estimateS());
        }
        return Math.min(30, Math.max(1, PATIENCE * may));
    }

    private boolean fits(Machine m, Job spec, List<Live> without) {
        MachineType type = machines.type(m.type);
        double[] room = coming.getOrDefault(m, new double[3]);
        double cpus = type.cpus() - m.usedCpus + room[0];
        double gpus = type.gpus() - m.usedGpus + room[1];
        double memory = type.memoryGb() - m.usedMemory + room[2];
        for (Live l : without) {
            cpus += l.job().job().cpus();
            gpus += l.job().job().gpus();
            memory += l.job().job().memoryGb();
        }
        return cpus >= spec.cpus() - 1e-9 && gpus >= spec.gpus() - 1e-9 && memory >= spec.memoryGb() - 1e-9;
    }

    /** The tasks whose stop costs least and makes room on the machine, or null. */
    private List<Live> victims(Machine m, Replica.JobEntry job) {
        List<Live> may = new ArrayList<>();
        for (Live l : m.live) {
            if (!m.stops.containsKey(l.key()) && m.reported.containsKey(l.key()) && mayStop(l, job)) {
                may.add(l);
            }
        }
        may.sort(Comparator.comparingDouble(this::loss));
        List<Live> chosen = new ArrayList<>();
        for (Live l : may) {
            chosen.add(l);
            if (fits(m, job.job(), chosen)) {
                return chosen;
            }
        }
        return null;
    }

    private boolean mayStop(Live l, Replica.JobEntry job) {
        Job theirs = l.job().job();
        if (l.job().aborted() || ageS(theirs) > SPARE * context.settings().within("finished", theirs.lot())) {
            return false;
        }
        if (theirs.priority().compareTo(job.job().priority()) < 0) {
            return true;
        }
        return guaranteed.contains(job.id) && !guaranteed.contains(l.job().id)
                && !theirs.team().equals(job.job().team()) && quota.borrows(theirs);
    }

    private double loss(List<Live> lives) {
        double sum = 0;
        for (Live l : lives) {
            sum += loss(l);
        }
        return sum;
    }

    /** CPU seconds that are lost when the task is stopped now. */
    private double loss(Live l) {
        Job job = l.job().job();
        double ran = (context.wall() - l.attempt().launchedMs()) / 1000.0;
        return job.cpus() * (1 + (job.checkpointS() > 0 ? Math.min(ran, job.saveS()) : ran));
    }
}
