package dewlane.core.worker;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import java.util.ArrayList;
import java.util.List;

/**
 * Has the cloud delete, without a decommission record, machines on which a cancelled task may run for too long.
 *
 * <p>A machine that hangs or is unreachable keeps running a cancelled task past its deadline, also while the store is
 * unavailable to all controllers or refuses the leader's requests. Deleting it needs no record: the machine is then as
 * unresponsive as before, the record and the proof that its tasks have ended follow once they can be written, and the
 * cloud ignores names of machines that are already deleted.
 */
final class CancelledTaskEviction {
    /**
     * Fraction of {@code cancel_s} after which a machine is deleted; a decommission record should have taken effect by
     * then.
     */
    private static final double DEADLINE_FRACTION = 0.45;

    /**
     * The same while no record can be written. It is smaller because this controller, which has observed the
     * cancellation, may fail before the deadline.
     */
    private static final double DEADLINE_FRACTION_WITHOUT_STORE = 0.2;

    private static final long RETRY_INTERVAL_MS = 5000;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final Membership membership;
    private final CancelledTaskAge cancelledTasks;
    private long requestedAtMs = ControllerContext.NEVER_MS;

    CancelledTaskEviction(
            ControllerContext context,
            MachineRegistry machines,
            Membership membership,
            CancelledTaskAge cancelledTasks) {
        this.context = context;
        this.machines = machines;
        this.membership = membership;
        this.cancelledTasks = cancelledTasks;
    }

    /** Checks all machines of this partition; called once a second. */
    void tick() {
        if (context.nowMs() - requestedAtMs < RETRY_INTERVAL_MS) {
            return;
        }
        List<String> overdue = overdueMachines();
        if (!overdue.isEmpty()) {
            requestedAtMs = context.nowMs();
            context.info("deleting silent machines with cancelled tasks, without a decommission record: " + overdue);
            context.emit(new Effect.DeleteInstances(overdue));
        }
    }

    private List<String> overdueMachines() {
        // Less time is left than for other unresponsive machines, so a machine counts as unresponsive as soon as it has
        // missed its heartbeats.
        long timeoutMs = context.settings().heartbeatTimeoutMs();
        double fraction = membership.isStoreReachable() ? DEADLINE_FRACTION : DEADLINE_FRACTION_WITHOUT_STORE;
        List<String> overdue = new ArrayList<>();
        for (Machine machine : machines.owned()) {
            if (overdue.size() < DecommissionBatches.MAX_MACHINES
                    && machine.reachability().timeSinceLastContactMs(context.nowMs()) > timeoutMs
                    && cancelledTasks.isFractionExceededOn(machine, fraction)) {
                overdue.add(machine.name());
            }
        }
        return overdue;
    }
}
