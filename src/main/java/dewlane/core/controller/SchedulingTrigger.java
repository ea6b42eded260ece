package dewlane.core.controller;

import dewlane.core.job.DependencyTracker;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.FailureIsolation;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.worker.CommandDispatcher;
import java.util.List;

/**
 * Decides when a scheduling cycle runs: after inputs that may affect scheduling decisions, and periodically without
 * them. Inputs that arrive in quick succession share one cycle. Direct commands are sent right after each cycle.
 */
final class SchedulingTrigger {
    private static final long MIN_INTERVAL_MS = 80;
    /** Maximum time between cycles, even without a request, since some decisions depend on time alone. */
    private static final long IDLE_INTERVAL_MS = 300;

    private final ControllerContext context;
    private final DependencyTracker dependencies;
    private final SchedulingCycle cycle;
    private final CommandDispatcher commands;
    private boolean requested;
    private long cycleAtMs = ControllerContext.NEVER_MS;

    SchedulingTrigger(
            ControllerContext context,
            DependencyTracker dependencies,
            SchedulingCycle cycle,
            CommandDispatcher commands) {
        this.context = context;
        this.dependencies = dependencies;
        this.cycle = cycle;
        this.commands = commands;
    }

    /** Requests a cycle, which runs once the minimum interval since the last one has passed. */
    void request() {
        requested = true;
    }

    /** Requests a cycle if none has run within the idle interval. */
    void requestIfIdle() {
        if (sinceCycleMs() >= IDLE_INTERVAL_MS) {
            request();
        }
    }

    /** Runs a cycle if one is requested and the minimum interval since the last one has passed. */
    void runIfDue() {
        if (requested && sinceCycleMs() >= MIN_INTERVAL_MS) {
            cycleAtMs = context.nowMs();
            requested = false;
            FailureIsolation.runAll(List.of(dependencies::propagateUrgency, cycle::run, commands::sendDirectCommands));
        }
    }

    private long sinceCycleMs() {
        return context.nowMs() - cycleAtMs;
    }
}
