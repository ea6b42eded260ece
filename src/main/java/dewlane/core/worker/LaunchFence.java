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
 * Keeps launches in flight from being carried out when they no longer may: after their job's cancellation, or after the
 * worker was told to forget their attempt. Which launches are in flight is known to the {@link CommandChannel}.
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
     * Has the worker refuse, from the next response or command on, all launches that were sent before, if one of them
     * must not be carried out any more.
     *
     * @param exited attempts that the worker is to forget
     */
    void raiseIfNeeded(Machine machine, List<AttemptId> exited) {
        if (exited.stream().anyMatch(machine.commandChannel()::isLaunchAbandoned)) {
            raise(machine, "a command was abandoned that launches an attempt to be forgotten");
        } else if (machine.attempts().stream().anyMatch(assigned -> isForbiddenLaunchInFlight(machine, assigned))) {
            raise(machine, "a launch in flight is of a job that is over or cancelled");
        }
    }

    private void raise(Machine machine, String reason) {
        counters.increment(Counter.FENCES_RAISED);
        machine.commandChannel().raiseFence();
        commandLog.fenceRaised(machine, reason);
    }

    /** A launch that may still be in flight must not arrive after its job's cancellation. */
    private boolean isForbiddenLaunchInFlight(Machine machine, AssignedAttempt assigned) {
        return cancellations.mustNotRun(assigned.job()) && machine.mayLaunchArrive(assigned);
    }

    /**
     * Removes the attempts that must not be forgotten yet, as a copy of their launch may still arrive and would start
     * them again. Waiting is enough, since the copy's fate will be known; raising the fence would give up other
     * launches too.
     */
    void removeDeferred(Machine machine, List<AttemptId> exited) {
        exited.removeIf(id -> isForgetDeferred(machine, id));
    }

    private boolean isForgetDeferred(Machine machine, AttemptId id) {
        boolean deferred = machine.commandChannel().isLaunchInFlight(id);
        if (deferred) {
            counters.increment(Counter.FORGETS_DEFERRED);
            commandLog.forgetDeferred(machine, id);
        }
        return deferred;
    }
}
