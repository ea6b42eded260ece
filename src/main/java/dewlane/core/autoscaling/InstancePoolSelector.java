package dewlane.core.autoscaling;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.Priority;
import dewlane.core.store.JobEntry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Selects the cheapest pool for a job among those from which the cloud may have instances to create now. */
public final class InstancePoolSelector {
    /** Jobs of idle priority that may run on spot instances get on-demand ones only after waiting for this time. */
    private static final long IDLE_PRIORITY_WAIT_MS = 60_000;
    /** The fraction by which the price of a type is raised if another job that can use fewer types needs it. */
    private static final double CONTENTION_PRICE_FACTOR = 0.4;
    /** The time over which the cost of the boot and of the first image fetch is spread. */
    private static final double EXPECTED_LIFETIME_S = 300;

    private static final boolean[] SPOT_THEN_ON_DEMAND = {true, false};

    private final ControllerContext context;
    private final MachineRegistry machines;
    /** The monotonic time until which no instances of a pool are requested. */
    private final Map<InstancePool, Long> backoffUntilMs = new HashMap<>();

    /** Creates a selector for the pools of all machine types in the registry. */
    public InstancePoolSelector(ControllerContext context, MachineRegistry machines) {
        this.context = context;
        this.machines = machines;
    }

    /** Excludes the pool for the given time. */
    void backOff(InstancePool pool, long durationMs) {
        backoffUntilMs.put(pool, context.nowMs() + durationMs);
    }

    /**
     * Returns the pool with the lowest cost per task of the job, or empty if no pool is eligible. The cost includes the
     * price, the contention for the machine type, and the time that is lost to the boot and the image fetch.
     */
    Optional<InstancePool> cheapest(JobEntry job) {
        InstancePool best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (MachineType type : machines.types()) {
            for (String zone : type.zones()) {
                for (boolean spot : SPOT_THEN_ON_DEMAND) {
                    InstancePool pool = new InstancePool(type.name(), zone, spot);
                    double cost = isEligible(pool, type, job) ? cost(type, spot, job.job()) : Double.POSITIVE_INFINITY;
                    if (cost < bestCost) {
                        best = pool;
                        bestCost = cost;
                    }
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isEligible(InstancePool pool, MachineType type, JobEntry job) {
        return type.capacityFor(job.job()) >= 1
                && pool.isAllowedFor(job.job())
                && (pool.spot() || mayUseOnDemand(job))
                && backoffUntilMs.getOrDefault(pool, 0L) <= context.nowMs();
    }

    private boolean mayUseOnDemand(JobEntry job) {
        return job.priority() != Priority.IDLE
                || !job.job().spotAllowed()
                || context.wallClockMs() - job.waitingSinceMs() > IDLE_PRIORITY_WAIT_MS;
    }

    private double cost(MachineType type, boolean spot, Job job) {
        double pricePerTask = type.price(spot) / type.capacityFor(job);
        double contention = machines.typeContention().contention(job.requirements(), type);
        double contentionFactor = 1 + CONTENTION_PRICE_FACTOR * contention;
        double lostS = type.bootS() + job.imageGb() / type.imageFetchGbPerS();
        return pricePerTask * contentionFactor * (1 + lostS / EXPECTED_LIFETIME_S);
    }
}
