package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.store.JobEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds machines of this part for a job's tasks, those first that have the image and that others need least. */
final class CandidateFinder {
    /** A larger set of machines with room is sampled, not searched. */
    private static final int SAMPLE = 256;
    /** Seconds of fetching that are worth leaving a machine to tasks that have fewer types to choose from. */
    private static final double RIVAL_S = 8;
    /** Seconds of fetching that are worth leaving an ordinary machine idle, so that it can be returned. */
    private static final double ORDINARY_S = 1.5;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final ControllerCounters counters;
    private List<Machine> free = List.of();

    CandidateFinder(ControllerContext context, MachineRegistry machines, ControllerCounters counters) {
        this.context = context;
        this.machines = machines;
        this.counters = counters;
    }

    /** Begins a pass with the machines that take tasks and are not full. */
    void begin(List<Machine> withRoom) {
        free = withRoom;
    }

    /** Machines with room for a task of the job, the cheapest first. */
    List<Candidate> of(JobEntry job) {
        Job spec = job.job();
        List<Candidate> found = new ArrayList<>();
        Map<String, double[]> byType = new HashMap<>();
        int n = free.size();
        int offset = n > SAMPLE ? context.random().nextInt(n) : 0;
        counters.machinesLookedAt += Math.min(n, SAMPLE);
        for (int i = 0; i < Math.min(n, SAMPLE); i++) {
            Machine m = free.get((offset + i) % n);
            MachineType type = machines.type(m);
            if (m.room(type, spec) < 1
                    || !spec.allows(m.type, m.zone, m.spot)
                    || (m.failedJobs.contains(job.id)
                            && !machines.progress().of(job.id).faulty())) {
                continue;
            }
            double[] of = byType.computeIfAbsent(m.type, t -> new double[] {
                spec.imageGb() / type.fetchGbPerS(), machines.rivalry().rivals(job.shape(), type) * RIVAL_S
            });
            found.add(new Candidate(
                    m,
                    (m.spot ? 0 : ORDINARY_S)
                            + (m.hasImage(spec.image()) ? 0 : of[0])
                            + of[1]
                            + 2 * (type.cpus() - m.use.cpus() - spec.cpus()) / type.cpus()));
        }
        found.sort(Comparator.comparingDouble(Candidate::cost));
        return found;
    }
}
