package dewlane.core.autoscaling;

/**
 * A request to create instances of one pool.
 *
 * @param requestedAtMs the monotonic time at which the request was made
 */
record InstanceRequest(InstancePool pool, int count, long requestedAtMs) {}
