package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.Machine;
import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;

/** Raises the fence of a machine, so that its worker refuses launches in flight of jobs that must not run any more. */
final class LaunchFence {
    private final CancellationTracker cancellations;
    private final ControllerCounters counters;
    private final CommandLog commandLog;

    LaunchFence(CancellationTracker cancellations, ControllerCounters counters, CommandLog commandLog) {
        this.cancellations = cancellations;
        this.counters = counters;
        this.commandLog = commandLog;
    }

    /** Raises the fence if a launch that may still arrive is of a job that was cancelled or has ended. */
    void raiseIfForbiddenLaunchMayArrive(Machine machine) {
        if (machine.attempts().stream().anyMatch(assigned -> isForbiddenLaunchInFlight(machine, assigned))) {
            counters.increment(Counter.FENCES_RAISED_FOR_CANCELLATIONS);
            machine.commandChannel().raiseFence();
            commandLog.onFenceRaisedForEndedJob(machine);
        }
    }

    /** Returns true if a launch of the attempt may still arrive although its job is cancelled or has ended. */
    private boolean isForbiddenLaunchInFlight(Machine machine, AssignedAttempt assigned) {
        return cancellations.mustNotRun(assigned.job()) && machine.launches().mayArrive(assigned);
    }
}
