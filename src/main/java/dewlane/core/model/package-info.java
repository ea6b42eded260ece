/**
 * The vocabulary of the scheduler: jobs, attempts, machine types, heartbeats and commands of workers.
 *
 * <p>All types but {@link dewlane.core.model.ResourceUsage} are immutable. May depend on {@code config}.
 */
package dewlane.core.model;
