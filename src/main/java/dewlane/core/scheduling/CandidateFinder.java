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

/**
 * Finds machines of this partition for a job's tasks. Machines that already have the image, and that other jobs need
 * least, come first.
 */
final class CandidateFinder {
    /** Maximum number of machines with capacity that are considered. Of a larger set, a sample is considered. */
    private static final int MAX_SAMPLE_SIZE = 256;
    /** Cost, in seconds of fetching an image, of using a machine that jobs with fewer usable types could use. */
    private static final double CONTENTION_COST_S = 8;
    /** Cost, in seconds of fetching an image, of using an on-demand machine, which could be scaled in if left idle. */
    private static final double ON_DEMAND_COST_S = 1.5;
    /**
     * Cost, in seconds of fetching an image, of a machine all of whose CPUs stay free, and proportionally less of
     * others. Makes machines that the task fills preferred to empty ones.
     */
    private static final double FREE_CPUS_COST_S = 2;

    /** The part of the cost that depends only on the machine's type. */
    private record TypeCost(double imageFetchS, double contentionS) {}

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final ControllerCounters counters;
    private List<Machine> machinesWithCapacity = List.of();

    CandidateFinder(ControllerContext context, MachineRegistry machines, ControllerCounters counters) {
        this.context = context;
        this.machines = machines;
        this.counters = counters;
    }

    /** Begins a cycle with the schedulable machines whose CPUs are not all in use. */
    void beginCycle(List<Machine> withCapacity) {
        machinesWithCapacity = withCapacity;
    }

    /** Returns machines with capacity for a task of the job, the one with the lowest cost first. */
    List<MachineCandidate> find(JobEntry job) {
        List<MachineCandidate> found = new ArrayList<>();
        Map<String, TypeCost> costByType = new HashMap<>();
        int total = machinesWithCapacity.size();
        int sampled = Math.min(total, MAX_SAMPLE_SIZE);
        int offset = total > MAX_SAMPLE_SIZE ? context.random().nextInt(total) : 0;
        counters.add(Counter.MACHINES_CONSIDERED, sampled);
        for (int i = 0; i < sampled; i++) {
            Machine machine = machinesWithCapacity.get((offset + i) % total);
            MachineType type = machines.type(machine);
            if (isCandidate(machine, type, job)) {
                TypeCost typeCost = costByType.computeIfAbsent(type.name(), name -> typeCost(type, job));
                found.add(new MachineCandidate(machine, costS(machine, type, job.job(), typeCost)));
            }
        }
        found.sort(Comparator.comparingDouble(MachineCandidate::costS));
        return found;
    }

    private boolean isCandidate(Machine machine, MachineType type, JobEntry job) {
        Job spec = job.job();
        return machine.capacityFor(type, spec) >= 1
                && machine.isAllowedFor(spec)
                && (!machine.failedJobs().contains(job.id())
                        || machines.progress().getOrCreate(job.id()).isFaulty());
    }

    private TypeCost typeCost(MachineType type, JobEntry job) {
        double imageFetchS = job.job().imageGb() / type.imageFetchGbPerS();
        double contention = machines.typeContention().contention(job.requirements(), type);
        return new TypeCost(imageFetchS, contention * CONTENTION_COST_S);
    }

    private static double costS(Machine machine, MachineType type, Job job, TypeCost typeCost) {
        double onDemandS = machine.isSpot() ? 0 : ON_DEMAND_COST_S;
        double imageFetchS = machine.images().contains(job.image()) ? 0 : typeCost.imageFetchS;
        double freeCpus = type.cpus() - machine.usage().cpus() - job.cpus();
        return onDemandS + imageFetchS + typeCost.contentionS + FREE_CPUS_COST_S * freeCpus / type.cpus();
    }
}
