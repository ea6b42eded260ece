package dewlane.core.scheduling;

/**
 * A partition as a target for tasks of a job.
 *
 * @param controller the controller that owns the partition
 * @param capacity how many tasks of the job the partition could start
 * @param netCapacity the same less the capacity that pending tasks of jobs of no lower priority there need; negative if
 *     they need more than there is
 */
record PartitionCandidate(String controller, int capacity, double netCapacity) {}
