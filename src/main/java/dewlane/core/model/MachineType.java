package dewlane.core.model;

import java.util.List;

/** An entry of the cloud's catalog. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double imageCacheGb,
        double imageFetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /** How many tasks of the job fit on an empty machine. */
    public int capacityFor(Job job) {
        return new ResourceUsage().capacityFor(this, job);
    }

    /** True if a task of the shape fits on an empty machine. */
    public boolean fits(Job.Requirements shape) {
        return cpus >= shape.cpus() - 1e-9 && gpus >= shape.gpus() - 1e-9 && memoryGb >= shape.memoryGb() - 1e-9;
    }

    /** The price of an hour of a spot or an ordinary machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
