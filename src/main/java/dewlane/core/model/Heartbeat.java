package dewlane.core.model;

import java.util.List;

/**
 * A worker's report. The one with the larger (session, sequence) is the newer.
 *
 * @param terminationNoticeS seconds until the cloud takes the machine away, NaN if it does not
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        double terminationNoticeS,
        List<TaskStatus> tasks) {

    /** What the worker says about one attempt. */
    public record TaskStatus(
            String job, int task, int attempt, Phase phase, ExitReason exitReason, boolean checkpointSaved) {}

    /** Where an attempt is. */
    public enum Phase {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitReason {
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN
    }

    /** True if this report is newer than the one of the given session and sequence number. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
        return incarnation != otherSession ? incarnation > otherSession : sequence > otherSequence;
    }
}
