/**
 * The vocabulary of the scheduler: jobs, attempts, machine types, heartbeats and commands of workers.
 *
 * <p>All types but {@link dewlane.core.model.ResourceUsage} are immutable. Lists in them are not changed after
 * construction. May depend on {@code config}.
 */
package dewlane.core.model;
