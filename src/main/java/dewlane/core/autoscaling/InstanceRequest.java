package dewlane.core.autoscaling;

/**
 * Machines of one place that were asked for together.
 *
 * @param at when, in steady time
 */
record InstanceRequest(InstancePool place, int count, long at) {

    /** Where machines can be rented, and on what terms. */
    record InstancePool(String type, String zone, boolean spot) {}
}
