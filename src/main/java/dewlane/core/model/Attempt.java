package dewlane.core.model;

/**
 * One launch of a task. The task counts as being on its machine until its outcome is durable, or a proof is durable
 * that the machine has terminated or that the launch can no longer be executed.
 *
 * @param task number of the task within the job
 * @param number launch number within the slice; it increases with every launch, so no two attempts of a task share one
 * @param machine name of the machine
 * @param incarnation the worker's incarnation at the launch
 * @param fencingToken the only fencing token under which this launch is ever sent
 * @param launchedAtMs wall-clock time of the launch in milliseconds
 */
public record Attempt(int task, int number, String machine, long incarnation, long fencingToken, long launchedAtMs) {
    /** Returns the id of this attempt, given the id of its job. */
    public AttemptId idIn(String job) {
        return new AttemptId(job, task, number);
    }
}
