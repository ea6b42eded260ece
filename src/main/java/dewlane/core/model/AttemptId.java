package dewlane.core.model;

/**
 * Identifies one launch of one task.
 *
 * @param job id of the job
 * @param task number of the task within its job
 * @param number the launch number, see {@link Attempt}
 */
public record AttemptId(String job, int task, int number) {
    /** Names the task in the log. */
    public String taskName() {
        return job + "/" + task;
    }

    /** Names the attempt in the log. */
    @Override
    public String toString() {
        return taskName() + " #" + number;
    }

    // Written out for speed: this is the key of the busiest maps, and generated methods are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId id && task == id.task && number == id.number && job.equals(id.job);
    }

    @Override
    public int hashCode() {
        return (job.hashCode() * 31 + task) * 31 + number;
    }
}
