package dewlane.core.autoscaling;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.message.ControllerContext;
import dewlane.core.scheduling.MachineSchedulability;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.List;

/** Finds machines of this controller's partition that have been idle for so long that keeping them costs too much. */
public final class IdleMachineFinder {
    /** Multiplies the idle timeout while jobs are pending, since their tasks may be launched on idle machines soon. */
    private static final int PENDING_WORK_FACTOR = 3;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final MachineSchedulability schedulability;
    private final DependencyGraph dependencies;

    /** Creates a finder for the machines of the registry and the jobs of the replica. */
    public IdleMachineFinder(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            MachineSchedulability schedulability,
            DependencyGraph dependencies) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.schedulability = schedulability;
        this.dependencies = dependencies;
    }

    /** Returns idle machines, at most as many as a decommission record may name. */
    List<Machine> find() {
        long idleTimeoutMs = idleTimeoutMs();
        List<Machine> idle = new ArrayList<>();
        for (Machine machine : machines.owned()) {
            if (idle.size() < DecommissionBatches.MAX_MACHINES && isIdleFor(machine, idleTimeoutMs)) {
                idle.add(machine);
            }
        }
        return idle;
    }

    private long idleTimeoutMs() {
        double idleS = context.settings().tuning().scaleInIdleS();
        return (long) (idleS * 1000 * (hasPendingJobs() ? PENDING_WORK_FACTOR : 1));
    }

    private boolean hasPendingJobs() {
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && dependencies.isReady(job.id()) && job.pendingCount() > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns true if the machine has been idle for the timeout. For an on-demand machine the timeout is half as long,
     * since it costs more.
     */
    private boolean isIdleFor(Machine machine, long timeoutMs) {
        return machine.attempts().isEmpty()
                && machine.usage().isEmpty()
                && schedulability.isSchedulable(machine)
                && context.nowMs() - machine.idleSinceMs() >= (machine.isSpot() ? timeoutMs : timeoutMs / 2);
    }
}
