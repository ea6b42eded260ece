/**
 * Scale-out for unmet demand, scale-in of idle machines, and the lifecycle of cloud instances.
 *
 * <p>Guards the rule that only the leader creates and deletes instances, while each partition's owner alone decides
 * which of its idle machines go. May depend on {@code scheduling} and below.
 */
package dewlane.core.autoscaling;
