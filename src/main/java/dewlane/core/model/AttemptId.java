package dewlane.core.model;

/**
 * Identifies one attempt, that is one launch of one task.
 *
 * @param job id of the job
 * @param task number of the task within its job
 * @param number the launch number, see {@link Attempt}
 */
public record AttemptId(String job, int task, int number) {
    /** Returns the name of the task in the log. */
    public String taskName() {
        return job + "/" + task;
    }

    /** Returns the name of the attempt in the log. */
    @Override
    public String toString() {
        return taskName() + " #" + number;
    }

    // Hand-written for performance: this type is the key of the most frequently used maps, and the generated equals and
    // hashCode of a record are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId id && task == id.task && number == id.number && job.equals(id.job);
    }

    @Override
    public int hashCode() {
        return (job.hashCode() * 31 + task) * 31 + number;
    }
}
