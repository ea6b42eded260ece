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
import dewlane.core.schema.TransactionPriority;
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
    private static final int MAX_DELETED_AT_ONCE = 100;

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
    private static final long PROCESS_PAUSE_MS = 3000;

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
        detectProcessPause();
        if (!membership.isMember()) {
            return;
        }
        deleteWithCancelledTasks();
        if (!membership.reachesStore()) {
            return;
        }
        if (membership.incarnation() != incarnation) {
            // Silence from before it joined again says nothing: others may have heard the machines all the while.
            incarnation = membership.incarnation();
            countSilenceFromNow();
        }
        if (mostAreSilent()) {
            mostSilentAt = context.nowMs();
        }
        Map<String, String> condemned = machinesToDecommission();
        condemned.forEach((name, reason) -> context.info("machine " + name + " is " + reason + ", to be deleted with "
                + machines.get(name).attempts().size() + " tasks on it"));
        List<String> names = List.copyOf(condemned.keySet());
        for (List<String> some :
                DecommissionBatches.split(names, context.settings().maxValueBytes())) {
            decommission(some, condemned.get(some.get(0)));
        }
    }

    /** What the process slept through is nobody's silence: reports of that time may still be on their way in. */
    private void detectProcessPause() {
        if (tickedAt != 0 && context.nowMs() - tickedAt > PROCESS_PAUSE_MS) {
            context.info("stood still for " + (context.nowMs() - tickedAt) + " ms");
            countSilenceFromNow();
        }
        tickedAt = context.nowMs();
    }

    private void countSilenceFromNow() {
        machines.all().forEach(machine -> machine.reachability().countSilenceFrom(context.nowMs()));
    }

    /** Those suspected or just fallen silent count too: they do not all begin at the same moment. */
    private boolean mostAreSilent() {
        long patience = Math.min(patienceMs(), context.settings().heartbeatTimeoutMs());
        int heard = 0;
        int silent = 0;
        for (Machine machine : machines.owned()) {
            if (!known(machine)) {
                continue;
            }
            if (machine.reachability().isSuspected() || silentFor(machine) > patience) {
                silent++;
            } else {
                heard++;
            }
        }
        return silent > heard;
    }

    private long patienceMs() {
        return (long) (context.settings().tuning().machineTimeoutS() * 1000);
    }

    /** Machines to be deleted, with the reason. */
    private Map<String, String> machinesToDecommission() {
        Map<String, String> condemned = new LinkedHashMap<>();
        for (Machine machine : machines.owned()) {
            boolean underWay =
                    replica.decommissionsByMachine().containsKey(machine.name()) || asking.contains(machine.name());
            String reason = underWay ? null : reasonToDelete(machine);
            if (reason != null) {
                condemned.put(machine.name(), reason);
            }
        }
        return condemned;
    }

    private String reasonToDelete(Machine machine) {
        long patience = patienceMs();
        if (!machine.failedJobs().isEmpty() && machines.isFaulty(machine)) {
            return "faulty";
        }
        if (silentFor(machine) <= patience) {
            return null;
        }
        // Where most are silent, or just were, it is more likely that this controller cannot hear or is not heard.
        boolean trusts = context.nowMs() - mostSilentAt > context.settings().heartbeatTimeoutMs();
        if (known(machine) && (trusts || silentFor(machine) > UNTRUSTED_PATIENCE * patience)) {
            return machine.worker().sequence() > 0 && machine.reachability().isSuspected() ? "out of reach" : "silent";
        }
        // A hanging machine keeps a cancelled task; only its deletion ends that in time.
        return hasCancelled(machine, CONDEMN) ? "silent with a cancelled task" : null;
    }

    /** Not one returned, nor one of which there is only a report: that may be a late copy from a machine long gone. */
    private static boolean known(Machine machine) {
        return machine.reachability().everConfirmed() && !machine.lifecycle().isScaleInExpected()
                || !machine.attempts().isEmpty();
    }

    /** True if a task on the machine has been cancelled for longer than the part of {@code cancel_s}. */
    private boolean hasCancelled(Machine machine, double share) {
        double longMs = context.settings().cancellationDeadlineS() * 1000 * share;
        return machine.attempts().stream()
                .anyMatch(assigned -> !assigned.hasEnded() && cancellations.cancelledForMs(assigned.job()) > longMs);
    }

    /**
     * A machine that hangs, or does not hear, keeps a cancelled task past its time, also while the state service is out
     * for all or refuses the leader. Its deletion by the cloud needs no record: the machine then is as silent as
     * before, the record and the proof follow once they can be written, and a name that was deleted already is ignored.
     */
    private void deleteWithCancelledTasks() {
        if (context.nowMs() - endedAt < DELETE_AGAIN_MS) {
            return;
        }
        // There is less time left than for others: one that missed its reports is as good as silent.
        long patience = context.settings().heartbeatTimeoutMs();
        double share = membership.reachesStore() ? DELETE : DELETE_WITHOUT_STATE;
        List<String> late = new ArrayList<>();
        for (Machine machine : machines.owned()) {
            if (silentFor(machine) > patience && late.size() < MAX_DELETED_AT_ONCE && hasCancelled(machine, share)) {
                late.add(machine.name());
            }
        }
        if (!late.isEmpty()) {
            endedAt = context.nowMs();
            context.info("deleting at once, as they are silent with cancelled tasks: " + late);
            context.emit(new Effect.DeleteInstances(late));
        }
    }

    private long silentFor(Machine machine) {
        return machine.reachability().silentForMs(context.nowMs());
    }

    /**
     * One record says it of all, since many may be lost at once. It is conditional on the map: nobody else launches on
     * them under it, and one that was cut off must not condemn what others have taken over and hear.
     */
    private void decommission(List<String> names, String reason) {
        asking.addAll(names);
        String key = StoreKeys.decommissionBatch(context.settings().controllerName(), incarnation, ++records);
        Transaction transaction = new Transaction.Builder()
                .require(key, 0)
                .require(StoreKeys.PARTITION_MAP, replica.partitionMapRevision())
                .put(key, new DecommissionRecord(DecommissionState.DELETE, reason, names))
                .build();
        transactions.submit(TransactionPriority.OUTCOME, transaction, (status, revision) -> asking.removeAll(names));
    }
}
