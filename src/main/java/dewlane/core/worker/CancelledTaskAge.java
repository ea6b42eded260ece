package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerContext;

/**
 * Compares the time since the cancellation of tasks that may still be on a machine with a fraction of {@code cancel_s}.
 */
final class CancelledTaskAge {
    private final ControllerContext context;
    private final CancellationTracker cancellations;

    CancelledTaskAge(ControllerContext context, CancellationTracker cancellations) {
        this.context = context;
        this.cancellations = cancellations;
    }

    /**
     * Returns true if a task that may be on the machine was cancelled more than the given fraction of {@code cancel_s}
     * ago.
     */
    boolean isFractionExceededOn(Machine machine, double deadlineFraction) {
        double limitMs = context.settings().cancellationDeadlineS() * 1000 * deadlineFraction;
        return machine.attempts().stream()
                .anyMatch(assigned -> !assigned.hasEnded() && cancellations.cancelledForMs(assigned.job()) > limitMs);
    }
}
