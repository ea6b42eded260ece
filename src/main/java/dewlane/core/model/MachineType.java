package dewlane.core.model;

import java.util.List;

/**
 * A machine type of the cloud's catalog.
 *
 * @param name name of the type
 * @param cpus number of CPUs
 * @param gpus number of GPUs
 * @param memoryGb memory in GB
 * @param imageCacheGb space for container images in GB
 * @param imageFetchGbPerS rate at which images are fetched, in GB per second
 * @param onDemandPrice price per hour of an on-demand instance
 * @param spotPrice current price per hour of a spot instance
 * @param bootS typical time in seconds from the request to the first heartbeat
 * @param zones the zones that offer the type
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double imageCacheGb,
        double imageFetchGbPerS,
        double onDemandPrice,
        double spotPrice,
        double bootS,
        List<String> zones) {
    /** Allows for rounding errors, as amounts are given as decimal fractions. */
    private static final double TOLERANCE = 1e-9;

    /** Returns how many tasks of the job fit on an empty machine. */
    public int capacityFor(Job job) {
        return new ResourceUsage().capacityFor(this, job);
    }

    /** Returns true if a task with the requirements fits on an empty machine. */
    public boolean fits(Job.Requirements requirements) {
        return cpus >= requirements.cpus() - TOLERANCE
                && gpus >= requirements.gpus() - TOLERANCE
                && memoryGb >= requirements.memoryGb() - TOLERANCE;
    }

    /** Returns the price per hour of a spot or an on-demand instance. */
    public double price(boolean spot) {
        return spot ? spotPrice : onDemandPrice;
    }
}
