/**
 * The domain model of the scheduler: jobs, attempts, machine types, heartbeats of workers and commands to them.
 *
 * <p>All types except {@link dewlane.core.model.ResourceUsage} are immutable, and the lists in them are not modified
 * after construction. May depend on {@code config}.
 */
package dewlane.core.model;
