package dewlane.core.controller;

import dewlane.core.message.ControllerContext;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.worker.CommandDispatcher;

/**
 * Decides when a scheduling cycle runs: after an input that may change what there is to schedule, and now and then
 * without one. Inputs that come close together share a cycle. The commands that follow from it are sent with it.
 */
final class SchedulingTrigger {
    private static final long MIN_INTERVAL_MS = 80;
    /** Time after which a cycle runs without a reason: some decisions only depend on time. */
    private static final long IDLE_INTERVAL_MS = 300;

    private final ControllerContext context;
    private final SchedulingCycle cycle;
    private final CommandDispatcher commands;
    private boolean requested;
    private long cycleAtMs = ControllerContext.NEVER_MS;

    SchedulingTrigger(ControllerContext context, SchedulingCycle cycle, CommandDispatcher commands) {
        this.context = context;
        this.cycle = cycle;
        this.commands = commands;
    }

    /** Has a cycle run as soon as one is due again. */
    void request() {
        requested = true;
    }

    /** Requests a cycle if none has run for a while. */
    void requestIfIdle() {
        if (sinceCycleMs() >= IDLE_INTERVAL_MS) {
            request();
        }
    }

    /** Runs a cycle if one is requested and the last one is long enough ago. */
    void runIfDue() {
        if (requested && sinceCycleMs() >= MIN_INTERVAL_MS) {
            cycleAtMs = context.nowMs();
            requested = false;
            cycle.run();
            commands.sendDirectCommands();
        }
    }

    private long sinceCycleMs() {
        return context.nowMs() - cycleAtMs;
    }
}
