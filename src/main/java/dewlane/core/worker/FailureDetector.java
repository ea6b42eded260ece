package dewlane.core.worker;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes decommission records for machines of this partition that are unresponsive or faulty. */
public final class FailureDetector {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final ContactTimerReset contactTimerReset;
    private final DecommissionPolicy policy;
    private final CancelledTaskEviction eviction;
    /** Machines in records that are being written. */
    private final Set<String> machinesInFlight = new HashSet<>();

    private long recordsWritten;

    /** Creates a detector for the registry's machines in this partition. */
    public FailureDetector(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            TransactionQueue transactions,
            CancellationTracker cancellations) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.transactions = transactions;
        CancelledTaskAge cancelledTasks = new CancelledTaskAge(context, cancellations);
        this.contactTimerReset = new ContactTimerReset(context, machines, membership);
        this.policy = new DecommissionPolicy(context, machines, cancelledTasks);
        this.eviction = new CancelledTaskEviction(context, machines, membership, cancelledTasks);
    }

    /** Checks all machines of this partition; called once a second. */
    public void tick() {
        contactTimerReset.resetAfterProcessPause();
        if (!membership.isMember()) {
            return;
        }
        eviction.tick();
        if (!membership.isStoreReachable()) {
            return;
        }
        contactTimerReset.resetAfterRejoin();
        policy.observeUnresponsiveMajority();
        decommission(decommissionReasons());
    }

    private Map<String, String> decommissionReasons() {
        Map<String, String> reasons = new LinkedHashMap<>();
        for (Machine machine : machines.owned()) {
            boolean recorded = replica.isDecommissioned(machine.name());
            if (!recorded && !machinesInFlight.contains(machine.name())) {
                policy.reasonToDecommission(machine).ifPresent(reason -> reasons.put(machine.name(), reason));
            }
        }
        return reasons;
    }

    private void decommission(Map<String, String> reasons) {
        reasons.forEach((name, reason) -> context.info("decommissioning machine " + name + ": " + reason + ", with "
                + machines.get(name).attempts().size() + " tasks on it"));
        List<String> names = List.copyOf(reasons.keySet());
        for (List<String> batch :
                DecommissionBatches.split(names, context.settings().maxValueBytes())) {
            writeRecord(batch, reasons.get(batch.get(0)));
        }
    }

    /** Writes one record for a batch of machines, since many machines may fail at the same time. */
    private void writeRecord(List<String> names, String reason) {
        machinesInFlight.addAll(names);
        String key = StoreKeys.decommissionBatch(
                context.settings().controllerName(), membership.incarnation(), ++recordsWritten);
        Transaction transaction = DecommissionBatches.transaction(
                key, replica.partitionMapRevision(), DecommissionState.DELETE, reason, names);
        transactions.submit(
                TransactionPriority.OUTCOME, transaction, (status, revision) -> machinesInFlight.removeAll(names));
    }
}
