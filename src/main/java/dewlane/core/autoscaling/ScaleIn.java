package dewlane.core.autoscaling;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.DependencyGraph;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
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
    private static final int MOST_AT_ONCE = DecommissionBatches.MOST_NAMES;
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
    private final SchedulingCycle placement;
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
            SchedulingCycle placement,
            DependencyGraph release) {
        this.release = release;
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.standing = standing;
        this.transactions = transactions;
        this.placement = placement;
    }

    public void tick() {
        if (!standing.now().mayDecide()
                || context.now() - returnedAt < GATHER_MS
                || !transactions.open(TransactionQueue.Urgency.LATER)) {
            return;
        }
        long idleMs =
                (long) (context.settings().tuning().idleS() * 1000 * (workWaits() ? PATIENCE_WHILE_WORK_WAITS : 1));
        List<Machine> idle = new ArrayList<>();
        for (Machine m : machines.own()) {
            // An ordinary machine is dearer, and goes after half the time.
            if (idle.size() < MOST_AT_ONCE
                    && m.live.isEmpty()
                    && m.use.none()
                    && placement.takesTasks(m)
                    && context.now() - m.idleSince >= (m.spot ? idleMs : idleMs / 2)) {
                idle.add(m);
            }
        }
        if (!idle.isEmpty()) {
            giveBack(idle);
        }
    }

    private boolean workWaits() {
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && release.isReady(job.id) && job.waiting() > 0) {
                return true;
            }
        }
        return false;
    }

    private void giveBack(List<Machine> idle) {
        returnedAt = context.now();
        // What a record has no room for goes back by the next one.
        List<String> all = idle.stream().map(m -> m.name).toList();
        List<String> names =
                DecommissionBatches.split(all, context.settings().valueBytes()).get(0);
        context.info("returning idle machines " + names);
        List<Machine> leaving = idle.subList(0, names.size());
        leaving.forEach(m -> m.leaving = true);
        String key = StoreKeys.machines(context.settings().node() + "-idle", membership.incarnation(), ++records);
        Transaction txn = new Transaction.Builder()
                .when(key, 0)
                .when(StoreKeys.MAP, replica.mapVersion())
                .set(key, new DecommissionRecord(DecommissionState.RETURN, "idle", names))
                .build();
        transactions.submit(TransactionQueue.Urgency.LATER, txn, (status, revision) -> {
            if (status != Transaction.Status.COMMITTED) {
                leaving.forEach(m -> m.leaving = false);
            }
        });
    }
}
