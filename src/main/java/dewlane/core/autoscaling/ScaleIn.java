package dewlane.core.autoscaling;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.scheduling.MachineSchedulability;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.List;

/**
 * Gives back idle machines of this part, as many as are idle by one record. A record for each cost three changes a
 * machine, and at most four went back in a second: after a day's work hundreds stayed for minutes, at full price.
 *
 * <p>The partition's owner alone launches on a machine, and the record is conditional on the map, so nothing can be on
 * the machines once it is written; the leader deletes them.
 */
public final class ScaleIn {
    private static final int MOST_AT_ONCE = DecommissionBatches.MAX_MACHINES;
    /** Those that become idle soon after one another share a record. */
    private static final long GATHER_MS = 4000;
    /** While work waits, idle machines are kept for so many times as long: it may be about to reach them. */
    private static final int PATIENCE_WHILE_WORK_WAITS = 3;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final AuthorityMonitor standing;
    private final TransactionQueue transactions;
    private final MachineSchedulability schedulability;
    private final DependencyGraph release;
    private long records;
    private long returnedAt = Long.MIN_VALUE / 2;

    public ScaleIn(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            AuthorityMonitor standing,
            TransactionQueue transactions,
            MachineSchedulability schedulability,
            DependencyGraph release) {
        this.release = release;
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.standing = standing;
        this.transactions = transactions;
        this.schedulability = schedulability;
    }

    /** Decommissions machines that have been idle for long enough. */
    public void tick() {
        if (!standing.current().mayDecide()
                || context.nowMs() - returnedAt < GATHER_MS
                || !transactions.hasCapacity(TransactionPriority.LATER)) {
            return;
        }
        long idleMs = (long)
                (context.settings().tuning().scaleInIdleS() * 1000 * (workWaits() ? PATIENCE_WHILE_WORK_WAITS : 1));
        List<Machine> idle = new ArrayList<>();
        for (Machine machine : machines.owned()) {
            // An ordinary machine is dearer, and goes after half the time.
            if (idle.size() < MOST_AT_ONCE
                    && machine.attempts().isEmpty()
                    && machine.usage().isEmpty()
                    && schedulability.isSchedulable(machine)
                    && context.nowMs() - machine.idleSinceMs() >= (machine.isSpot() ? idleMs : idleMs / 2)) {
                idle.add(machine);
            }
        }
        if (!idle.isEmpty()) {
            decommission(idle);
        }
    }

    private boolean workWaits() {
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && release.isReady(job.id()) && job.pendingCount() > 0) {
                return true;
            }
        }
        return false;
    }

    private void decommission(List<Machine> idle) {
        returnedAt = context.nowMs();
        // What a record has no room for goes back by the next one.
        List<String> all = idle.stream().map(machine -> machine.name()).toList();
        List<String> names = DecommissionBatches.split(all, context.settings().maxValueBytes())
                .get(0);
        context.info("returning idle machines " + names);
        List<Machine> leaving = idle.subList(0, names.size());
        leaving.forEach(machine -> machine.lifecycle().beginScaleIn());
        String key = StoreKeys.decommissionBatch(
                context.settings().controllerName() + "-idle", membership.incarnation(), ++records);
        Transaction transaction = new Transaction.Builder()
                .require(key, 0)
                .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                .put(key, new DecommissionRecord(DecommissionState.SCALE_IN, "idle", names))
                .build();
        transactions.submit(TransactionPriority.LATER, transaction, (status, revision) -> {
            if (status != Transaction.Status.COMMITTED) {
                leaving.forEach(machine -> machine.lifecycle().abortScaleIn());
            }
        });
    }
}
