/**
 * The scheduling cycle: selects the machines that can be given tasks, orders the jobs, plans launches, preemptions and
 * handovers between partitions, and writes changes of jobs to the store.
 *
 * <p>Tasks are started only here. Ensures that a launch is durable before it is sent to a worker, and that its write is
 * conditional on the job, its slice, the partition map and the machine. May depend on {@code quota} and the packages
 * below it.
 */
package dewlane.core.scheduling;
