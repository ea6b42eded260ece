package dewlane.core.worker;

import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;

/** Derives from a heartbeat what it proves about the end of an attempt. */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /**
     * Returns the outcome of an attempt that the heartbeat does not list, or null if the attempt may still run. It is
     * proven to have ended only if the heartbeat is from a later incarnation of the worker than the launch, or if the
     * worker had already seen a fencing token above the launch's, so that it refuses delayed copies of the launch.
     */
    static Outcome ifMissing(Attempt attempt, Heartbeat heartbeat) {
        boolean laterIncarnation = heartbeat.incarnation() > attempt.incarnation();
        boolean launchFenced =
                heartbeat.incarnation() == attempt.incarnation() && heartbeat.fencingToken() > attempt.fencingToken();
        return laterIncarnation || launchFenced ? Outcome.GONE : null;
    }

    /** Returns the outcome of an attempt that the heartbeat lists, or null if it has not exited. */
    static Outcome ofStatus(TaskStatus status) {
        if (status.phase() != Phase.EXITED) {
            return null;
        }
        return switch (status.exitReason()) {
            case DONE -> Outcome.DONE;
            case STOPPED -> Outcome.STOPPED;
            case ERROR -> Outcome.ERROR;
            case NO_ROOM, BUSY, UNKNOWN -> Outcome.REFUSED;
        };
    }
}
