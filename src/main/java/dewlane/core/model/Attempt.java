package dewlane.core.model;

/**
 * One launch of a task. The task counts as being on its machine until its outcome, or a proof that the machine or the
 * launch no longer exists, is durable.
 *
 * @param task number of the task within the job
 * @param number the launch number of the slice, which grows with every launch, so it is never used twice for a task
 * @param machine name of the machine
 * @param incarnation the worker's incarnation at the launch
 * @param fencingToken the only token under which this launch is ever commanded
 * @param launchedAtMs time of day of the launch in milliseconds
 */
public record Attempt(int task, int number, String machine, long incarnation, long fencingToken, long launchedAtMs) {
    /** Identifies the attempt, as one of the given job. */
    public AttemptId idIn(String job) {
        return new AttemptId(job, task, number);
    }
}
