package dewlane.core.scheduling;

import dewlane.core.fleet.ForgetFence;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.store.StoreReplica;

/** Decides which machines can be given tasks, based on what this controller has observed. */
public final class MachineSchedulability {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;

    /** Creates a check based on the replica's decommission records and the registry's state of machines. */
    public MachineSchedulability(ControllerContext context, StoreReplica replica, MachineRegistry machines) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
    }

    /**
     * Returns true if the machine can be given tasks. A machine of this partition is checked by this controller's own
     * observations; any other must have been listed by its owner within the last few seconds.
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
                && !ForgetFence.isOverdue(machine, context)
                && (machine.failedJobs().isEmpty() || !machines.isFaulty(machine));
    }

    /**
     * Returns true if a heartbeat arrived within half of the worker's lease. A machine that answers commands, but whose
     * heartbeats do not arrive, loses all its tasks when its lease expires. After a change of the owner, the worker has
     * the same time to send its first heartbeat to the new one.
     */
    private boolean sendsHeartbeats(Machine machine) {
        long sinceMs = Math.max(machine.reachability().lastHeartbeatAtMs(), machine.ownerSinceMs());
        return context.nowMs() - sinceMs < context.settings().workerLeaseS() * 1000 / 2;
    }
}
