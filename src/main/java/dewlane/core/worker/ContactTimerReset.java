package dewlane.core.worker;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;

/**
 * Restarts the machines' time since the last contact after a period in which this controller could not receive
 * heartbeats.
 */
final class ContactTimerReset {
    /** Ticks come every second; only a process that was paused has a longer gap between two of them. */
    private static final long MIN_PROCESS_PAUSE_MS = 3000;

    private static final long NEVER = 0;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final Membership membership;
    private long lastTickAtMs = NEVER;
    private long incarnation;

    ContactTimerReset(ControllerContext context, MachineRegistry machines, Membership membership) {
        this.context = context;
        this.machines = machines;
        this.membership = membership;
    }

    /**
     * Ignores the time of a pause of this process: heartbeats sent during the pause may not have been processed yet.
     */
    void resetAfterProcessPause() {
        long gapMs = context.nowMs() - lastTickAtMs;
        if (lastTickAtMs != NEVER && gapMs > MIN_PROCESS_PAUSE_MS) {
            context.info("process paused for " + gapMs + " ms");
            restartContactTimers();
        }
        lastTickAtMs = context.nowMs();
    }

    /**
     * Ignores the time before this controller joined again: other controllers may have received the heartbeats in that
     * time.
     */
    void resetAfterRejoin() {
        if (membership.incarnation() != incarnation) {
            incarnation = membership.incarnation();
            restartContactTimers();
        }
    }

    private void restartContactTimers() {
        machines.all().forEach(machine -> machine.reachability().restartContactTimer(context.nowMs()));
    }
}
