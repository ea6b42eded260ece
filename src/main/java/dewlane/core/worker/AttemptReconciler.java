package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.List;

/**
 * Reconciles the attempts that a worker reports with the replica: finds those that the store does not assign to the
 * machine. The worker is to stop them while they run and to forget them once they have exited.
 */
final class AttemptReconciler {
    /** How long an attempt that the replica does not show is tolerated, as the replica may lag behind the store. */
    private static final long REPLICA_LAG_GRACE_PERIOD_MS = 5000;

    private final ControllerContext context;
    private final StoreReplica replica;

    AttemptReconciler(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /**
     * Reported attempts that the store does not assign to the machine.
     *
     * @param exited those that the worker is to forget
     * @param running those that the worker is to stop
     */
    record UnassignedAttempts(List<AttemptId> exited, List<AttemptId> running) {}

    /** Finds the reported attempts that the store does not assign to the machine. */
    UnassignedAttempts unassigned(Machine machine) {
        UnassignedAttempts found = new UnassignedAttempts(new ArrayList<>(), new ArrayList<>());
        machine.worker().tasks().forEach((id, status) -> {
            if (machine.attempt(id) == null && isUnassigned(machine, id)) {
                (status.phase() == Phase.EXITED ? found.exited() : found.running()).add(id);
            }
        });
        return found;
    }

    /**
     * Returns true if the replica shows that the attempt was launched and has ended, or if the replica has not shown it
     * for longer than it may lag behind. Returns false if a stored value of the job cannot be read, as its attempts are
     * then unknown.
     */
    private boolean isUnassigned(Machine machine, AttemptId id) {
        if (replica.isUnreadable(id.job())) {
            return false;
        }
        JobEntry job = replica.job(id.job());
        SliceEntry slice = job == null ? null : job.sliceContaining(id.task());
        boolean shownByReplica =
                slice != null ? slice.value().launchCount() >= id.number() : replica.cachedResult(id.job()) != null;
        return shownByReplica
                || machine.commands().absentFromReplicaForMs(id, context.nowMs()) > REPLICA_LAG_GRACE_PERIOD_MS;
    }
}
