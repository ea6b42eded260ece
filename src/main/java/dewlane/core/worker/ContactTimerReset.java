package dewlane.core.worker;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;

/** Keeps time in which this controller could not hear its machines from counting as their silence. */
final class ContactTimerReset {
    /** Ticks come every second; only a process that was paused has a longer gap between two of them. */
    private static final long PROCESS_PAUSE_MS = 3000;

    private static final long NEVER = 0;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final Membership membership;
    private long tickedAtMs = NEVER;
    private long incarnation;

    ContactTimerReset(ControllerContext context, MachineRegistry machines, Membership membership) {
        this.context = context;
        this.machines = machines;
        this.membership = membership;
    }

    /** Silence during a pause of this process does not count: heartbeats of that time may still be on their way in. */
    void resetAfterProcessPause() {
        long gapMs = context.nowMs() - tickedAtMs;
        if (tickedAtMs != NEVER && gapMs > PROCESS_PAUSE_MS) {
            context.info("process paused for " + gapMs + " ms");
            reset();
        }
        tickedAtMs = context.nowMs();
    }

    /** Nor does silence from before this controller joined again: others may have heard the machines meanwhile. */
    void resetAfterRejoin() {
        if (membership.incarnation() != incarnation) {
            incarnation = membership.incarnation();
            reset();
        }
    }

    private void reset() {
        machines.all().forEach(machine -> machine.reachability().restartContactTimer(context.nowMs()));
    }
}
