package dewlane.core.model;

/**
 * A command to a worker about one attempt.
 *
 * @param action what to do
 * @param job id of the job
 * @param task number of the task within the job
 * @param attempt launch number of the attempt
 * @param graceS seconds that the task has for saving a checkpoint; only of a stop
 */
public record WorkerCommand(Action action, String job, int task, int attempt, double graceS) {

    /** The attempt that the command is about. */
    public AttemptId attemptId() {
        return new AttemptId(job, task, attempt);
    }

    /** What to do with the attempt. */
    public enum Action {
        /** Start it; without effect if the worker already holds the attempt in any state. */
        LAUNCH,
        /** Stop it, after a checkpoint if the grace period is long enough for one. */
        STOP,
        /** Remove the exited attempt from heartbeats. A launch that arrives after this starts it again. */
        FORGET
    }
}
