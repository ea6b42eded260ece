package dewlane.core.model;

import java.util.List;

/**
 * A worker's report. The one with the larger (session, sequence) is the newer.
 *
 * @param noticeS seconds until the cloud takes the machine away, NaN if it does not
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        double noticeS,
        List<TaskStatus> tasks) {

    /** What the worker says about one attempt. */
    public record TaskStatus(String job, int task, int attempt, Phase phase, ExitReason end, boolean saved) {}

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
    public boolean newerThan(long otherSession, long otherSequence) {
        return session != otherSession ? session > otherSession : sequence > otherSequence;
    }
}
