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

/** Selects the pool in which instances for a job cost least, among those from which the cloud can create some now. */
public final class InstancePoolSelector {
    /** Jobs of idle priority get on-demand instances only after such a wait. */
    private static final long IDLE_PRIORITY_WAIT_MS = 60_000;
    /** By how much a type counts as more expensive if other jobs need it more. */
    private static final double CONTENTION_PRICE_FACTOR = 0.4;
    /** The time over which an instance's boot and its first image fetch count as lost. */
    private static final double EXPECTED_LIFETIME_S = 300;

    private static final boolean[] SPOT_THEN_ON_DEMAND = {true, false};

    private final ControllerContext context;
    private final MachineRegistry machines;
    /** Until when nothing is requested of a pool, in steady time. */
    private final Map<InstancePool, Long> backoffUntilMs = new HashMap<>();

    /** Selects among the pools of the registry's machine types. */
    public InstancePoolSelector(ControllerContext context, MachineRegistry machines) {
        this.context = context;
        this.machines = machines;
    }

    /** Requests nothing of the pool for the given time. */
    void backOff(InstancePool pool, long durationMs) {
        backoffUntilMs.put(pool, context.nowMs() + durationMs);
    }

    /** The pool where a task of the job costs least, by price, contention and the time lost to boot and image fetch. */
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
