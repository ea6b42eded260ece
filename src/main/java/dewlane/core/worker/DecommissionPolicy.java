package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import java.util.Optional;

/** Decides which machines of this partition are to be decommissioned because they are unresponsive or faulty. */
final class DecommissionPolicy {
    /** Fraction of {@code cancel_s} after which an unresponsive machine with a cancelled task is decommissioned. */
    private static final double CANCELLED_TASK_DEADLINE_FRACTION = 0.3;

    /** Factor by which the timeout is longer while most machines are unresponsive. */
    private static final int UNRESPONSIVE_MAJORITY_TIMEOUT_FACTOR = 3;

    // The reasons, as they are stored in decommission records.
    private static final String FAULTY = "faulty";
    private static final String UNRESPONSIVE = "silent";
    private static final String UNREACHABLE = "out of reach";
    private static final String UNRESPONSIVE_WITH_CANCELLED_TASK = "silent with a cancelled task";

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final CancelledTaskAge cancelledTasks;
    private long unresponsiveMajorityAtMs = ControllerContext.NEVER_MS;

    DecommissionPolicy(ControllerContext context, MachineRegistry machines, CancelledTaskAge cancelledTasks) {
        this.context = context;
        this.machines = machines;
        this.cancelledTasks = cancelledTasks;
    }

    /** Records whether most machines are unresponsive now; called once a second, before machines are assessed. */
    void observeUnresponsiveMajority() {
        if (areMostMachinesUnresponsive()) {
            unresponsiveMajorityAtMs = context.nowMs();
        }
    }

    /**
     * Returns true if most machines are unresponsive. Machines that are suspected, or that have just missed their
     * heartbeats, count as unresponsive too, because machines do not all become unresponsive at the same moment.
     */
    private boolean areMostMachinesUnresponsive() {
        long timeoutMs = Math.min(timeoutMs(), context.settings().heartbeatTimeoutMs());
        int reachable = 0;
        int unresponsive = 0;
        for (Machine machine : machines.owned()) {
            if (!isExpectedToBeReachable(machine)) {
                continue;
            }
            if (machine.reachability().isSuspected() || timeSinceLastContactMs(machine) > timeoutMs) {
                unresponsive++;
            } else {
                reachable++;
            }
        }
        return unresponsive > reachable;
    }

    private long timeoutMs() {
        return (long) (context.settings().tuning().machineTimeoutS() * 1000);
    }

    private long timeSinceLastContactMs(Machine machine) {
        return machine.reachability().timeSinceLastContactMs(context.nowMs());
    }

    /**
     * Returns true for a machine with attempts. Without attempts, returns false for a machine that is being scaled in,
     * and for one that was never confirmed reachable: its only heartbeat may be a delayed copy from a machine that was
     * terminated long ago.
     */
    private static boolean isExpectedToBeReachable(Machine machine) {
        return (machine.reachability().wasConfirmed() && !machine.lifecycle().isScaleInExpected())
                || !machine.attempts().isEmpty();
    }

    /** Returns why the machine is to be decommissioned, as stated in the record; empty if it is not to be. */
    Optional<String> reasonToDecommission(Machine machine) {
        if (!machine.failedJobs().isEmpty() && machines.isFaulty(machine)) {
            return Optional.of(FAULTY);
        }
        long timeSinceLastContactMs = timeSinceLastContactMs(machine);
        if (timeSinceLastContactMs <= timeoutMs()) {
            return Optional.empty();
        }
        if (isExpectedToBeReachable(machine) && isUnresponsiveLongEnough(timeSinceLastContactMs)) {
            boolean suspected =
                    machine.worker().sequence() > 0 && machine.reachability().isSuspected();
            return Optional.of(suspected ? UNREACHABLE : UNRESPONSIVE);
        }
        // A machine that hangs keeps running a cancelled task; only deleting the machine ends the task in time.
        return cancelledTasks.isFractionExceededOn(machine, CANCELLED_TASK_DEADLINE_FRACTION)
                ? Optional.of(UNRESPONSIVE_WITH_CANCELLED_TASK)
                : Optional.empty();
    }

    /**
     * Returns true if the machine has been unresponsive for long enough. If most machines are unresponsive, or were
     * until just now, it is more likely that this controller cannot receive from or send to them than that all of them
     * failed; the timeout is then longer.
     */
    private boolean isUnresponsiveLongEnough(long timeSinceLastContactMs) {
        boolean recentUnresponsiveMajority =
                context.nowMs() - unresponsiveMajorityAtMs <= context.settings().heartbeatTimeoutMs();
        return !recentUnresponsiveMajority
                || timeSinceLastContactMs > UNRESPONSIVE_MAJORITY_TIMEOUT_FACTOR * timeoutMs();
    }
}
