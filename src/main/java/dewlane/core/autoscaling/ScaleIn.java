package dewlane.core.autoscaling;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.List;

/**
 * Decommissions idle machines of this controller's partition. One record names as many idle machines as it can hold,
 * since each record costs a write.
 *
 * <p>Only the partition's owner launches tasks on a machine, and the record is conditional on the partition map, so no
 * task can be on the machines once the record is written. The leader then deletes them.
 */
public final class ScaleIn {
    /** The minimum time between records, so that machines that become idle shortly after each other share one. */
    private static final long MIN_INTERVAL_MS = 4000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final AuthorityMonitor authority;
    private final TransactionQueue transactions;
    private final IdleMachineFinder idleMachines;
    private long recordCount;
    private long lastDecommissionAtMs = ControllerContext.NEVER_MS;

    /** Creates a scale-in of the machines that the finder returns. Records are written through the queue. */
    public ScaleIn(
            ControllerContext context,
            StoreReplica replica,
            Membership membership,
            AuthorityMonitor authority,
            TransactionQueue transactions,
            IdleMachineFinder idleMachines) {
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.authority = authority;
        this.transactions = transactions;
        this.idleMachines = idleMachines;
    }

    /** Decommissions machines that have been idle for longer than the timeout. Called periodically. */
    public void tick() {
        if (!authority.current().mayDecide()
                || context.nowMs() - lastDecommissionAtMs < MIN_INTERVAL_MS
                || !transactions.hasCapacity(TransactionPriority.LATER)) {
            return;
        }
        List<Machine> idle = idleMachines.find();
        if (!idle.isEmpty()) {
            lastDecommissionAtMs = context.nowMs();
            decommission(firstBatch(idle));
        }
    }

    /** Returns as many of the machines as fit into one record. The others follow in the next one. */
    private List<Machine> firstBatch(List<Machine> idle) {
        List<String> names = idle.stream().map(Machine::name).toList();
        int maxBytes = context.settings().maxValueBytes();
        return idle.subList(0, DecommissionBatches.split(names, maxBytes).get(0).size());
    }

    private void decommission(List<Machine> machines) {
        List<String> names = machines.stream().map(Machine::name).toList();
        context.info("scaling in idle machines " + names);
        machines.forEach(machine -> machine.lifecycle().beginScaleIn());
        String key = StoreKeys.decommissionBatch(
                context.settings().controllerName() + "-idle", membership.incarnation(), ++recordCount);
        Transaction transaction = DecommissionBatches.transaction(
                key, replica.partitionMapRevision(), DecommissionState.SCALE_IN, "idle", names);
        transactions.submit(TransactionPriority.LATER, transaction, (status, revision) -> {
            if (status != Transaction.Status.COMMITTED) {
                machines.forEach(machine -> machine.lifecycle().abortScaleIn());
            }
        });
    }
}
