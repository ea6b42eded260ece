package dewlane.core.model;

import dewlane.core.config.Settings;

/**
 * CPUs, GPUs and memory in use, a mutable sum. Counted in integer millionths, so that removing what was added leaves no
 * rounding error.
 */
public final class ResourceUsage {
    private static final double UNITS_PER_AMOUNT = 1e6;
    /** Stands for no limit, far above what fits on any machine, and keeps sums within an int. */
    public static final int UNLIMITED_TASKS = 1_000_000;

    private long cpuUnits;
    private long gpuUnits;
    private long memoryGbUnits;

    /** Nothing in use. */
    public ResourceUsage() {}

    /** A copy of another usage. */
    public ResourceUsage(ResourceUsage other) {
        cpuUnits = other.cpuUnits;
        gpuUnits = other.gpuUnits;
        memoryGbUnits = other.memoryGbUnits;
    }

    private static long units(double amount) {
        return Math.round(amount * UNITS_PER_AMOUNT);
    }

    /** Adds another usage; returns this one. */
    public ResourceUsage add(ResourceUsage other) {
        cpuUnits += other.cpuUnits;
        gpuUnits += other.gpuUnits;
        memoryGbUnits += other.memoryGbUnits;
        return this;
    }

    /** Adds one task of the job. */
    public void add(Job job) {
        add(job, 1);
    }

    /** Adds that many tasks of the job; removes them if negative. */
    public void add(Job job, int tasks) {
        cpuUnits += tasks * units(job.cpus());
        gpuUnits += tasks * units(job.gpus());
        memoryGbUnits += tasks * units(job.memoryGb());
    }

    /** Removes one task of the job. */
    public void remove(Job job) {
        add(job, -1);
    }

    /** CPUs in use. */
    public double cpus() {
        return cpuUnits / UNITS_PER_AMOUNT;
    }

    /** GPUs in use. */
    public double gpus() {
        return gpuUnits / UNITS_PER_AMOUNT;
    }

    /** True if nothing is in use. */
    public boolean isEmpty() {
        return cpuUnits == 0 && gpuUnits == 0 && memoryGbUnits == 0;
    }

    /** How many tasks of the job fit beside this use on a machine of the type. */
    public int capacityFor(MachineType type, Job job) {
        long byCpus = countFitting(type.cpus(), cpuUnits, job.cpus());
        long byGpus = countFitting(type.gpus(), gpuUnits, job.gpus());
        long byMemory = countFitting(type.memoryGb(), memoryGbUnits, job.memoryGb());
        return (int) Math.min(byCpus, Math.min(byGpus, byMemory));
    }

    /** How many tasks of the job fit beside this use within a team's limits, of which 0 is none. */
    public int capacityFor(Settings.TeamQuota team, Job job) {
        long byCpus = team.maxCpus() <= 0 ? Integer.MAX_VALUE : countFitting(team.maxCpus(), cpuUnits, job.cpus());
        long byGpus = team.maxGpus() <= 0 ? Integer.MAX_VALUE : countFitting(team.maxGpus(), gpuUnits, job.gpus());
        return (int) Math.min(byCpus, byGpus);
    }

    /** How many tasks of the job fit beside this use into a share of so many CPUs. */
    public int capacityByCpus(double cpus, Job job) {
        return (int) countFitting(cpus, cpuUnits, job.cpus());
    }

    /** How many tasks of the job fit beside this use into a share of so many GPUs. */
    public int capacityByGpus(double gpus, Job job) {
        return (int) countFitting(gpus, gpuUnits, job.gpus());
    }

    private static long countFitting(double total, long usedUnits, double perTask) {
        long neededUnits = units(perTask);
        if (neededUnits <= 0) {
            return UNLIMITED_TASKS;
        }
        return Math.max(0, Math.min(UNLIMITED_TASKS, (units(total) - usedUnits) / neededUnits));
    }
}
