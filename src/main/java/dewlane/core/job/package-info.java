/**
 * Which jobs may run: dependencies between jobs, cancellations, and how large slices of a job may be.
 *
 * <p>Guards the rules that no task starts before all dependencies of its job are done, and that the tasks of a
 * cancelled job end. May depend on {@code store} and below.
 */
package dewlane.core.job;
