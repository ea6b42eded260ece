/**
 * What may run: dependencies between jobs, cancellations, and the sizes of slices.
 *
 * <p>Guards the rules that no task starts before all jobs that its job depends on are done, and that cancelled work
 * ends. May depend on {@code store} and below.
 */
package dewlane.core.job;
