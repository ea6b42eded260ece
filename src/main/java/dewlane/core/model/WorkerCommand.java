package dewlane.core.model;

/**
 * A command to a worker about one attempt.
 *
 * @param action what to do with the attempt
 * @param job id of the job
 * @param task number of the task within the job
 * @param attempt launch number of the attempt
 * @param graceS grace period in seconds for saving a checkpoint; used by {@link Action#STOP} only
 */
public record WorkerCommand(Action action, String job, int task, int attempt, double graceS) {

    /** Returns the id of the attempt. */
    public AttemptId attemptId() {
        return new AttemptId(job, task, attempt);
    }

    /** What to do with the attempt. */
    public enum Action {
        /** Start it. Has no effect if the worker already has a record of the attempt, in any phase. */
        LAUNCH,
        /** Stop it, after saving a checkpoint if the grace period is long enough. */
        STOP,
        /** Drop the record of the exited attempt. A launch that arrives after this starts the attempt again. */
        FORGET
    }
}
