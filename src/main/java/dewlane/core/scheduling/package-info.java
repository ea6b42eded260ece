/**
 * The scheduling cycle: which machines can be given tasks, the order of jobs, launches, preemption, handover between
 * partitions, and the writes about a job.
 *
 * <p>The one place that starts tasks. Guards the rule that a launch is durable, conditional on the job, its slice, the
 * partition map and the machine, before a worker hears of it. May depend on {@code quota} and below.
 */
package dewlane.core.scheduling;
