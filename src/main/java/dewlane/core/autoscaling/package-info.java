/**
 * Scale-out for unmet demand, scale-in of idle machines, and the lifecycle of cloud instances.
 *
 * <p>Enforces that only the leader creates and deletes instances, while only the owner of a partition decides which of
 * its idle machines are scaled in. May depend on {@code scheduling} and the packages below it.
 */
package dewlane.core.autoscaling;
