/**
 * Dependencies between jobs, cancellations, and the size limits of a job's slices.
 *
 * <p>Enforces that no task starts before all dependencies of its job are done, and that the tasks of a cancelled job
 * are stopped. May depend on {@code store} and the packages below it.
 */
package dewlane.core.job;
