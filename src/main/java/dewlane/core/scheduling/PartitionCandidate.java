package dewlane.core.scheduling;

/**
 * A partition to which tasks of a job may be assigned.
 *
 * @param controller the controller that owns the partition
 * @param capacity number of tasks of the job that the partition could start, less what it must leave to pending tasks
 * @param netCapacity capacity for tasks of the job, less what all pending tasks there of jobs with the same or higher
 *     priority need; negative if they need more than there is
 */
record PartitionCandidate(String controller, int capacity, double netCapacity) {}
