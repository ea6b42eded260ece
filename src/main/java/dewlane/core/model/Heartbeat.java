package dewlane.core.model;

import java.util.List;

/**
 * A worker's heartbeat with the state of its tasks. Of two, the one with the larger (incarnation, sequence) is the
 * newer.
 *
 * @param machine name of the machine
 * @param address host and port of the worker
 * @param type name of the machine type
 * @param zone the zone that the machine is in
 * @param spot true for a spot instance
 * @param incarnation starts at 1 and grows each time the worker's lease expires
 * @param sequence grows with every message of the worker
 * @param fencingToken the highest token that the worker has seen
 * @param terminationNoticeS seconds until the cloud takes the machine away, NaN if no notice was given
 * @param tasks all attempts on the machine, with those that have exited and are not forgotten
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
     * What the worker says about one attempt.
     *
     * @param job id of the job
     * @param task number of the task within the job
     * @param attempt launch number of the attempt
     * @param phase where the attempt is
     * @param exitReason why it ended; only of one that has exited
     * @param checkpointSaved true if its progress was saved when it was stopped
     */
    public record TaskStatus(
            String job, int task, int attempt, Phase phase, ExitReason exitReason, boolean checkpointSaved) {
        /** The attempt that the status is of. */
        public AttemptId attemptId() {
            return new AttemptId(job, task, attempt);
        }
    }

    /** Where an attempt is. */
    public enum Phase {
        /** Waiting for its container image. */
        FETCHING,
        /** Running. */
        RUNNING,
        /** Told to stop, and saving a checkpoint. */
        SAVING,
        /** Exited, for a reason. */
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitReason {
        /** Completed. */
        DONE,
        /** Stopped by command. */
        STOPPED,
        /** Failed by itself. */
        ERROR,
        /** Not started: the machine has not enough free resources. */
        NO_ROOM,
        /** Not started: the task is on this machine with another attempt. */
        BUSY,
        /** Not started: the worker finds no such job or task. */
        UNKNOWN
    }

    /** True if this heartbeat is newer than the one of the given incarnation and sequence number. */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation != otherIncarnation ? incarnation > otherIncarnation : sequence > otherSequence;
    }
}
