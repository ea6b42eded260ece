package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
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
    private static final int SAMPLE_SIZE = 256;
    /** Seconds of fetching that are worth leaving a machine to tasks that have fewer types to choose from. */
    private static final double CONTENTION_COST_S = 8;
    /** Seconds of fetching that are worth leaving an ordinary machine idle, so that it can be returned. */
    private static final double ON_DEMAND_COST_S = 1.5;

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
    void beginCycle(List<Machine> withRoom) {
        free = withRoom;
    }

    /** Machines with room for a task of the job, the cheapest first. */
    List<Candidate> find(JobEntry job) {
        Job spec = job.job();
        List<Candidate> found = new ArrayList<>();
        Map<String, double[]> byType = new HashMap<>();
        int n = free.size();
        int offset = n > SAMPLE_SIZE ? context.random().nextInt(n) : 0;
        counters.add(Counter.MACHINES_CONSIDERED, Math.min(n, SAMPLE_SIZE));
        for (int i = 0; i < Math.min(n, SAMPLE_SIZE); i++) {
            Machine machine = free.get((offset + i) % n);
            MachineType type = machines.type(machine);
            if (machine.capacityFor(type, spec) < 1
                    || !spec.allows(machine.typeName(), machine.zone(), machine.isSpot())
                    || (machine.failedJobs().contains(job.id())
                            && !machines.progress().getOrCreate(job.id()).isFaulty())) {
                continue;
            }
            double[] of = byType.computeIfAbsent(machine.typeName(), t -> new double[] {
                spec.imageGb() / type.imageFetchGbPerS(),
                machines.typeContention().contention(job.requirements(), type) * CONTENTION_COST_S
            });
            found.add(new Candidate(
                    machine,
                    (machine.isSpot() ? 0 : ON_DEMAND_COST_S)
                            + (machine.images().contains(spec.image()) ? 0 : of[0])
                            + of[1]
                            + 2 * (type.cpus() - machine.usage().cpus() - spec.cpus()) / type.cpus()));
        }
        found.sort(Comparator.comparingDouble(Candidate::cost));
        return found;
    }
}
