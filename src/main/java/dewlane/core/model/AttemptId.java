package dewlane.core.model;

/**
 * Identifies one launch of one task.
 *
 * @param job id of the job
 * @param task number of the task within its job
 * @param number the launch number of the task, see {@link Attempt}
 */
public record AttemptId(String job, int task, int number) {
    // Written out, as this is the key of the busiest maps and a record's own are linked at run time and stay slow.
    @Override
    public boolean equals(Object o) {
        return o instanceof AttemptId id && task == id.task && number == id.number && job.equals(id.job);
    }

    @Override
    public int hashCode() {
        return (job.hashCode() * 31 + task) * 31 + number;
    }
}
