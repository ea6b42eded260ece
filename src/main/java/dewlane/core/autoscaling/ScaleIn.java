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
 * Decommissions idle machines of this partition, as many as are idle by one record, since records cost writes.
 *
 * <p>The partition's owner alone launches on a machine, and the record is conditional on the partition map, so nothing
 * can be on the machines once it is written; the leader deletes them.
 */
public final class ScaleIn {
    /** Machines that become idle soon after one another share a record. */
    private static final long MIN_INTERVAL_MS = 4000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final AuthorityMonitor authority;
    private final TransactionQueue transactions;
    private final IdleMachineFinder idleMachines;
    private long recordCount;
    private long decommissionedAtMs = ControllerContext.NEVER_MS;

    /** Decommissions the machines that the finder finds, through the queue. */
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

    /** Decommissions machines that have been idle for long enough. */
    public void tick() {
        if (!authority.current().mayDecide()
                || context.nowMs() - decommissionedAtMs < MIN_INTERVAL_MS
                || !transactions.hasCapacity(TransactionPriority.LATER)) {
            return;
        }
        List<Machine> idle = idleMachines.find();
        if (!idle.isEmpty()) {
            decommissionedAtMs = context.nowMs();
            decommission(firstBatch(idle));
        }
    }

    /** As many of the machines as a record's value holds; the others follow by the next one. */
    private List<Machine> firstBatch(List<Machine> idle) {
        List<String> names = idle.stream().map(Machine::name).toList();
        int maxBytes = context.settings().maxValueBytes();
        return idle.subList(0, DecommissionBatches.split(names, maxBytes).get(0).size());
    }

    private void decommission(List<Machine> leaving) {
        List<String> names = leaving.stream().map(Machine::name).toList();
        context.info("scaling in idle machines " + names);
        leaving.forEach(machine -> machine.lifecycle().beginScaleIn());
        String key = StoreKeys.decommissionBatch(
                context.settings().controllerName() + "-idle", membership.incarnation(), ++recordCount);
        Transaction transaction = DecommissionBatches.transaction(
                key, replica.partitionMapRevision(), DecommissionState.SCALE_IN, "idle", names);
        transactions.submit(TransactionPriority.LATER, transaction, (status, revision) -> {
            if (status != Transaction.Status.COMMITTED) {
                leaving.forEach(machine -> machine.lifecycle().abortScaleIn());
            }
        });
    }
}
