package dewlane.core.scheduling;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.store.StoreReplica;

/** Decides which machines can be given tasks, as far as this controller knows. */
public final class MachineSchedulability {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;

    /** Judges by the replica's decommission records and what the registry knows. */
    public MachineSchedulability(ControllerContext context, StoreReplica replica, MachineRegistry machines) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
    }

    /**
     * True if the machine can be given tasks: one of this partition by what this controller knows of it, another by
     * what its owner said within the last few seconds.
     */
    public boolean isSchedulable(Machine machine) {
        if (machine.owner() == null || replica.isDecommissioned(machine.name())) {
            return false;
        }
        return machines.owns(machine) ? isOwnedSchedulable(machine) : machines.isListedByOwner(machine);
    }

    private boolean isOwnedSchedulable(Machine machine) {
        return !machine.lifecycle().isScalingIn()
                && machine.typeName() != null
                && machines.type(machine) != null
                && !machine.lifecycle().isTerminationScheduled()
                && !machine.reachability().isSuspected()
                && machine.reachability()
                        .wasConfirmedWithin(context.nowMs(), context.settings().heartbeatTimeoutMs())
                && sendsHeartbeats(machine)
                && (machine.failedJobs().isEmpty() || !machines.isFaulty(machine));
    }

    /**
     * True if a heartbeat came within half of the worker's lease. A machine that answers commands but whose heartbeats
     * do not arrive loses all its tasks when its lease expires. One that has just got this owner has some time to find
     * it.
     */
    private boolean sendsHeartbeats(Machine machine) {
        long sinceMs = Math.max(machine.reachability().lastHeartbeatAtMs(), machine.ownerSinceMs());
        return context.nowMs() - sinceMs < context.settings().workerLeaseS() * 1000 / 2;
    }
}
