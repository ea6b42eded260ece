/**
 * Scale-out for unmet demand, scale-in of idle machines, and the lifecycle of cloud instances.
 *
 * <p>Only the leader creates and deletes instances; each partition's owner decides which of its machines go. May depend
 * on {@code scheduling} and below.
 */
package dewlane.core.autoscaling;
