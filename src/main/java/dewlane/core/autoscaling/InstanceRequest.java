package dewlane.core.autoscaling;

/**
 * Machines of one place that were asked for together.
 *
 * @param requestedAtMs when, in steady time
 */
record InstanceRequest(InstancePool pool, int count, long requestedAtMs) {

    /** Where machines can be rented, and on what terms. */
    record InstancePool(String type, String zone, boolean spot) {}
}
