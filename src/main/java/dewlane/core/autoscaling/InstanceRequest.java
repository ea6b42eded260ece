package dewlane.core.autoscaling;

/**
 * A request to create instances of one pool.
 *
 * @param requestedAtMs when it was made, in steady time
 */
record InstanceRequest(InstancePool pool, int count, long requestedAtMs) {}
