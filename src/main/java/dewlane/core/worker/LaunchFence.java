package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.CommandChannel;
import dewlane.core.fleet.Machine;
import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.AttemptId;
import java.util.List;

/**
 * Prevents launches in flight from being executed after their job was cancelled, or after the worker was told to forget
 * their attempt. Which launches are in flight is tracked by the {@link CommandChannel}.
 */
final class LaunchFence {
    private final CancellationTracker cancellations;
    private final ControllerCounters counters;
    private final CommandLog commandLog;

    LaunchFence(CancellationTracker cancellations, ControllerCounters counters, CommandLog commandLog) {
        this.cancellations = cancellations;
        this.counters = counters;
        this.commandLog = commandLog;
    }

    /**
     * Raises the fence if a launch that was sent must not be executed any more. From the next response or command on,
     * the worker then refuses all launches that were sent before.
     *
     * @param exited attempts that the worker is to forget
     */
    void raiseIfNeeded(Machine machine, List<AttemptId> exited) {
        if (exited.stream().anyMatch(machine.commandChannel()::isLaunchAbandoned)) {
            raise(machine, "an abandoned launch is of an attempt that is to be forgotten");
        } else if (machine.attempts().stream().anyMatch(assigned -> isForbiddenLaunchInFlight(machine, assigned))) {
            raise(machine, "a launch in flight is of a job that has ended or is cancelled");
        }
    }

    private void raise(Machine machine, String reason) {
        counters.increment(Counter.FENCES_RAISED);
        machine.commandChannel().raiseFence();
        commandLog.onFenceRaised(machine, reason);
    }

    /** Returns true if a launch of the attempt may still arrive although its job is cancelled or has ended. */
    private boolean isForbiddenLaunchInFlight(Machine machine, AssignedAttempt assigned) {
        return cancellations.mustNotRun(assigned.job()) && machine.mayLaunchArrive(assigned);
    }

    /**
     * Removes the attempts that must not be forgotten yet, as a copy of their launch may still arrive and would start
     * them again. Deferring the command suffices, since the outcome of the launch in flight will be observed; raising
     * the fence would also invalidate other launches.
     */
    void removeDeferred(Machine machine, List<AttemptId> exited) {
        exited.removeIf(id -> isForgetDeferred(machine, id));
    }

    private boolean isForgetDeferred(Machine machine, AttemptId id) {
        boolean deferred = machine.commandChannel().isLaunchInFlight(id);
        if (deferred) {
            counters.increment(Counter.FORGETS_DEFERRED);
            commandLog.onForgetDeferred(machine, id);
        }
        return deferred;
    }
}
