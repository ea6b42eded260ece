package dewlane.core.model;

import java.util.List;

/**
 * An entry of the cloud's catalog.
 *
 * @param name name of the type
 * @param cpus number of CPUs
 * @param gpus number of GPUs
 * @param memoryGb memory in GB
 * @param imageCacheGb room for container images in GB
 * @param imageFetchGbPerS rate at which images are fetched, in GB per second
 * @param onDemandPrice price of an on-demand instance per hour
 * @param spotPrice present price of a spot instance per hour
 * @param bootS usual time in seconds from request to first heartbeat
 * @param zones the zones that have the type
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
    /** Covers rounding errors of amounts that come as decimal numbers. */
    private static final double TOLERANCE = 1e-9;

    /** How many tasks of the job fit on an empty machine. */
    public int capacityFor(Job job) {
        return new ResourceUsage().capacityFor(this, job);
    }

    /** True if a task with the requirements fits on an empty machine. */
    public boolean fits(Job.Requirements requirements) {
        return cpus >= requirements.cpus() - TOLERANCE
                && gpus >= requirements.gpus() - TOLERANCE
                && memoryGb >= requirements.memoryGb() - TOLERANCE;
    }

    /** The price per hour of a spot or an on-demand instance. */
    public double price(boolean spot) {
        return spot ? spotPrice : onDemandPrice;
    }
}
