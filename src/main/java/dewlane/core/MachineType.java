package dewlane.core;

import java.util.List;

/** An entry of the cloud's catalog. */
public record MachineType(String name, double cpus, double gpus, double memoryGb, double cacheGb,
                          double fetchGbPerS, double price, double spotPrice, double bootS,
                          List<String> zones) {

    /** How many tasks of the job fit on an empty machine. */
    public int fits(Job job) {
        double n = Math.min(ratio(cpus, job.cpus()), Math.min(ratio(gpus, job.gpus()), ratio(memoryGb, job.memoryGb())));
        return (int) Math.min(n, 1_000_000);
    }

    private static double ratio(double have, double need) {
        return need <= 0 ? 1_000_000 : Math.floor(have / need + 1e-9);
    }

    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
