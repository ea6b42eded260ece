package dewlane.core.model;

import java.util.List;

/**
 * A worker's heartbeat with the state of its tasks. Heartbeats of one machine are ordered by incarnation, then by
 * sequence number.
 *
 * @param machine name of the machine
 * @param address host and port of the worker
 * @param type name of the machine type
 * @param zone name of the machine's zone
 * @param spot true for a spot instance
 * @param incarnation the worker's incarnation; starts at 1 and increases each time the worker's lease expires
 * @param sequence the sequence number; increases with every message of the worker
 * @param fencingToken the highest fencing token that the worker has seen
 * @param terminationNoticeS seconds until the cloud terminates the machine, NaN if it gave no termination notice
 * @param tasks all attempts on the machine, including those that have exited and are not forgotten yet
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

    /**
     * A worker's report about one attempt.
     *
     * @param job id of the job
     * @param task number of the task within the job
     * @param attempt launch number of the attempt
     * @param phase phase of the attempt
     * @param exitReason why the attempt ended; null unless it has exited
     * @param checkpointSaved true if a checkpoint was saved when the attempt was stopped
     */
    public record TaskStatus(
            String job, int task, int attempt, Phase phase, ExitReason exitReason, boolean checkpointSaved) {
        /** Returns the id of the attempt. */
        public AttemptId attemptId() {
            return new AttemptId(job, task, attempt);
        }
    }

    /** The phase of an attempt on its machine. */
    public enum Phase {
        /** Waiting for its container image. */
        FETCHING,
        /** Running. */
        RUNNING,
        /** Told to stop, and saving a checkpoint before it exits. */
        SAVING,
        /** Exited; the exit reason says why. */
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitReason {
        /** Completed successfully. */
        DONE,
        /** Stopped by command. */
        STOPPED,
        /** The task itself failed. */
        ERROR,
        /** Not started: the machine has not enough free resources. */
        NO_ROOM,
        /** Not started: another attempt of the task is on this machine. */
        BUSY,
        /** Not started: the worker found no such job or task. */
        UNKNOWN
    }

    /** Returns true if this heartbeat is newer than the one with the given incarnation and sequence number. */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation != otherIncarnation ? incarnation > otherIncarnation : sequence > otherSequence;
    }
}
