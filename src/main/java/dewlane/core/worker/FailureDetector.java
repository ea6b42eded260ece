package dewlane.core.worker;

import dewlane.core.fleet.DecommissionBatches;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Asks for the deletion of machines of this part that fell silent or are faulty. */
public final class FailureDetector {
    /** As many as the cloud deletes at once. */
    private static final int MOST_AT_ONCE = 100;

    /**
     * Parts of {@code cancel_s} after which a silent machine with a cancelled task is condemned, and is deleted
     * outright.
     */
    private static final double CONDEMN = 0.3;

    private static final double DELETE = 0.45;
    /** The same where no record can be written: whoever knows of the cancellation may not be there for long. */
    private static final double DELETE_WITHOUT_STATE = 0.2;

    /** How many times as long silence must last while most machines are silent. */
    private static final int UNTRUSTED_PATIENCE = 3;

    private static final long DELETE_AGAIN_MS = 5000;
    /** A pause between two ticks, which come every second, that only a process that stood still has. */
    private static final long STOOD_STILL_MS = 3000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final CancellationTracker cancellations;
    private final Set<String> asking = new HashSet<>();
    private long incarnation;
    private long records;
    private long tickedAt;
    private long endedAt = Long.MIN_VALUE / 2;
    private long mostSilentAt = Long.MIN_VALUE / 2;

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
        this.cancellations = cancellations;
    }

    /** Looks at all machines of this part, once a second. */
    public void tick() {
        noteStandstill();
        if (!membership.joined()) {
            return;
        }
        endCancelled();
        if (!membership.reachesState()) {
            return;
        }
        if (membership.incarnation() != incarnation) {
            // Silence from before it joined again says nothing: others may have heard the machines all the while.
            incarnation = membership.incarnation();
            countSilenceFromNow();
        }
        if (mostAreSilent()) {
            mostSilentAt = context.now();
        }
        Map<String, String> condemned = condemned();
        condemned.forEach((name, reason) -> context.info("machine " + name + " is " + reason + ", to be deleted with "
                + machines.get(name).live.size() + " tasks on it"));
        List<String> names = List.copyOf(condemned.keySet());
        for (List<String> some :
                DecommissionBatches.split(names, context.settings().valueBytes())) {
            condemn(some, condemned.get(some.get(0)));
        }
    }

    /** What the process slept through is nobody's silence: reports of that time may still be on their way in. */
    private void noteStandstill() {
        if (tickedAt != 0 && context.now() - tickedAt > STOOD_STILL_MS) {
            context.info("stood still for " + (context.now() - tickedAt) + " ms");
            countSilenceFromNow();
        }
        tickedAt = context.now();
    }

    private void countSilenceFromNow() {
        machines.all().forEach(m -> m.reachability.countSilenceFrom(context.now()));
    }

    /** Those suspected or just fallen silent count too: they do not all begin at the same moment. */
    private boolean mostAreSilent() {
        long patience = Math.min(patienceMs(), context.settings().heardMs());
        int heard = 0;
        int silent = 0;
        for (Machine m : machines.own()) {
            if (!known(m)) {
                continue;
            }
            if (m.reachability.isSuspected() || silentFor(m) > patience) {
                silent++;
            } else {
                heard++;
            }
        }
        return silent > heard;
    }

    private long patienceMs() {
        return (long) (context.settings().tuning().silentS() * 1000);
    }

    /** Machines to be deleted, with the reason. */
    private Map<String, String> condemned() {
        Map<String, String> condemned = new LinkedHashMap<>();
        for (Machine m : machines.own()) {
            boolean underWay = replica.machines().containsKey(m.name) || asking.contains(m.name);
            String reason = underWay ? null : reasonToDelete(m);
            if (reason != null) {
                condemned.put(m.name, reason);
            }
        }
        return condemned;
    }

    private String reasonToDelete(Machine m) {
        long patience = patienceMs();
        if (!m.failedJobs.isEmpty() && machines.faulty(m)) {
            return "faulty";
        }
        if (silentFor(m) <= patience) {
            return null;
        }
        // Where most are silent, or just were, it is more likely that this controller cannot hear or is not heard.
        boolean trusts = context.now() - mostSilentAt > context.settings().heardMs();
        if (known(m) && (trusts || silentFor(m) > UNTRUSTED_PATIENCE * patience)) {
            return m.sequence > 0 && m.reachability.isSuspected() ? "out of reach" : "silent";
        }
        // A hanging machine keeps a cancelled task; only its deletion ends that in time.
        return hasCancelled(m, CONDEMN) ? "silent with a cancelled task" : null;
    }

    /** Not one returned, nor one of which there is only a report: that may be a late copy from a machine long gone. */
    private static boolean known(Machine m) {
        return m.reachability.everConfirmed() && !m.returned || !m.live.isEmpty();
    }

    /** True if a task on the machine has been cancelled for longer than the part of {@code cancel_s}. */
    private boolean hasCancelled(Machine m, double share) {
        double longMs = context.settings().cancelS() * 1000 * share;
        return m.live.values().stream().anyMatch(l -> !l.over && cancellations.cancelledForMs(l.job) > longMs);
    }

    /**
     * A machine that hangs, or does not hear, keeps a cancelled task past its time, also while the state service is out
     * for all or refuses the leader. Its deletion by the cloud needs no record: the machine then is as silent as
     * before, the record and the proof follow once they can be written, and a name that was deleted already is ignored.
     */
    private void endCancelled() {
        if (context.now() - endedAt < DELETE_AGAIN_MS) {
            return;
        }
        // There is less time left than for others: one that missed its reports is as good as silent.
        long patience = context.settings().heardMs();
        double share = membership.reachesState() ? DELETE : DELETE_WITHOUT_STATE;
        List<String> late = new ArrayList<>();
        for (Machine m : machines.own()) {
            if (silentFor(m) > patience && late.size() < MOST_AT_ONCE && hasCancelled(m, share)) {
                late.add(m.name);
            }
        }
        if (!late.isEmpty()) {
            endedAt = context.now();
            context.info("deleting at once, as they are silent with cancelled tasks: " + late);
            context.emit(new Effect.DeleteInstances(late));
        }
    }

    private long silentFor(Machine m) {
        return m.reachability.silentForMs(context.now());
    }

    /**
     * One record says it of all, since many may be lost at once. It is conditional on the map: nobody else launches on
     * them under it, and one that was cut off must not condemn what others have taken over and hear.
     */
    private void condemn(List<String> names, String reason) {
        asking.addAll(names);
        String key = StoreKeys.machines(context.settings().node(), incarnation, ++records);
        Transaction txn = new Transaction.Builder()
                .when(key, 0)
                .when(StoreKeys.MAP, replica.mapVersion())
                .set(key, new DecommissionRecord(DecommissionState.DELETE, reason, names))
                .build();
        transactions.submit(TransactionQueue.Urgency.OUTCOME, txn, (status, revision) -> asking.removeAll(names));
    }
}
