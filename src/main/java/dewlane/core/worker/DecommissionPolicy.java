package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import java.util.Optional;

/** Decides which machines of this partition are to be decommissioned, as they are silent or faulty. */
final class DecommissionPolicy {
    /** Fraction of {@code cancel_s} after which a silent machine with a cancelled task is decommissioned. */
    private static final double CANCELLED_TASK_DEADLINE_FRACTION = 0.3;

    /** How many times as long silence must last while most machines are silent. */
    private static final int MASS_SILENCE_TIMEOUT_FACTOR = 3;

    private static final String FAULTY = "faulty";
    private static final String SILENT = "silent";
    private static final String OUT_OF_REACH = "out of reach";
    private static final String SILENT_WITH_CANCELLED_TASK = "silent with a cancelled task";

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final CancelledTaskAge cancelledTasks;
    private long massSilenceAtMs = ControllerContext.NEVER_MS;

    DecommissionPolicy(ControllerContext context, MachineRegistry machines, CancelledTaskAge cancelledTasks) {
        this.context = context;
        this.machines = machines;
        this.cancelledTasks = cancelledTasks;
    }

    /** Notes whether most machines are silent now; called once a second, before machines are judged. */
    void observeMassSilence() {
        if (mostMachinesAreSilent()) {
            massSilenceAtMs = context.nowMs();
        }
    }

    /** Those suspected or just fallen silent count too: machines do not all fall silent at the same moment. */
    private boolean mostMachinesAreSilent() {
        long timeoutMs = Math.min(timeoutMs(), context.settings().heartbeatTimeoutMs());
        int reachable = 0;
        int silent = 0;
        for (Machine machine : machines.owned()) {
            if (!isExpectedToBeReachable(machine)) {
                continue;
            }
            if (machine.reachability().isSuspected() || silentForMs(machine) > timeoutMs) {
                silent++;
            } else {
                reachable++;
            }
        }
        return silent > reachable;
    }

    private long timeoutMs() {
        return (long) (context.settings().tuning().machineTimeoutS() * 1000);
    }

    private long silentForMs(Machine machine) {
        return machine.reachability().timeSinceLastContactMs(context.nowMs());
    }

    /**
     * Not a machine that is scaled in, nor one of which there is only a heartbeat, which may be a late copy from a
     * machine that is long gone.
     */
    private static boolean isExpectedToBeReachable(Machine machine) {
        return (machine.reachability().wasConfirmed() && !machine.lifecycle().isScaleInExpected())
                || !machine.attempts().isEmpty();
    }

    /** Why the machine is to be decommissioned, as the record states it; empty if it is not. */
    Optional<String> reasonToDecommission(Machine machine) {
        if (!machine.failedJobs().isEmpty() && machines.isFaulty(machine)) {
            return Optional.of(FAULTY);
        }
        long silentForMs = silentForMs(machine);
        if (silentForMs <= timeoutMs()) {
            return Optional.empty();
        }
        if (isExpectedToBeReachable(machine) && isConvincing(silentForMs)) {
            boolean suspected =
                    machine.worker().sequence() > 0 && machine.reachability().isSuspected();
            return Optional.of(suspected ? OUT_OF_REACH : SILENT);
        }
        // A hanging machine keeps a cancelled task; only its deletion ends that in time.
        return cancelledTasks.exceedsOn(machine, CANCELLED_TASK_DEADLINE_FRACTION)
                ? Optional.of(SILENT_WITH_CANCELLED_TASK)
                : Optional.empty();
    }

    /**
     * Where most machines are silent, or just were, it is more likely that this controller does not hear them or is not
     * heard than that all of them failed.
     */
    private boolean isConvincing(long silentForMs) {
        boolean massSilence =
                context.nowMs() - massSilenceAtMs <= context.settings().heartbeatTimeoutMs();
        return !massSilence || silentForMs > MASS_SILENCE_TIMEOUT_FACTOR * timeoutMs();
    }
}
