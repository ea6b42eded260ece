/**
 * The scheduling cycle: the order of jobs, the choice of machines, preemption, hand-over between partitions, and the
 * writes about a job.
 *
 * <p>The one place that starts tasks. May depend on {@code quota} and below.
 */
package dewlane.core.scheduling;
