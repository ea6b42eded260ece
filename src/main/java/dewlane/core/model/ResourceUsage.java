package dewlane.core.model;

import dewlane.core.config.Settings;

/**
 * A mutable sum of the CPUs, GPUs and memory in use. Amounts are stored as integer millionths, so that adding and then
 * removing a task leaves no rounding error.
 */
public final class ResourceUsage {
    private static final double UNITS_PER_AMOUNT = 1e6;
    /** Means no limit: far more tasks than fit on any machine, and small enough that sums do not overflow an int. */
    public static final int UNLIMITED_TASKS = 1_000_000;

    private long cpuUnits;
    private long gpuUnits;
    private long memoryGbUnits;

    /** Creates an empty usage. */
    public ResourceUsage() {}

    /** Creates a copy of another usage. */
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

    /** Adds the number of tasks of the job; a negative number removes them. */
    public void add(Job job, int tasks) {
        cpuUnits += tasks * units(job.cpus());
        gpuUnits += tasks * units(job.gpus());
        memoryGbUnits += tasks * units(job.memoryGb());
    }

    /** Removes one task of the job. */
    public void remove(Job job) {
        add(job, -1);
    }

    /** Returns the CPUs in use. */
    public double cpus() {
        return cpuUnits / UNITS_PER_AMOUNT;
    }

    /** Returns the GPUs in use. */
    public double gpus() {
        return gpuUnits / UNITS_PER_AMOUNT;
    }

    /** Returns true if nothing is in use. */
    public boolean isEmpty() {
        return cpuUnits == 0 && gpuUnits == 0 && memoryGbUnits == 0;
    }

    /** Returns how many more tasks of the job fit on a machine of the type that has this usage. */
    public int capacityFor(MachineType type, Job job) {
        long byCpus = countFitting(type.cpus(), cpuUnits, job.cpus());
        long byGpus = countFitting(type.gpus(), gpuUnits, job.gpus());
        long byMemory = countFitting(type.memoryGb(), memoryGbUnits, job.memoryGb());
        return (int) Math.min(byCpus, Math.min(byGpus, byMemory));
    }

    /** Returns how many more tasks of the job a team with this usage may run; a limit of 0 does not restrict it. */
    public int capacityFor(Settings.TeamQuota team, Job job) {
        long byCpus = team.maxCpus() <= 0 ? Integer.MAX_VALUE : countFitting(team.maxCpus(), cpuUnits, job.cpus());
        long byGpus = team.maxGpus() <= 0 ? Integer.MAX_VALUE : countFitting(team.maxGpus(), gpuUnits, job.gpus());
        return (int) Math.min(byCpus, byGpus);
    }

    /** Returns how many more tasks of the job fit into a share of the given CPUs that has this usage. */
    public int capacityByCpus(double cpus, Job job) {
        return (int) countFitting(cpus, cpuUnits, job.cpus());
    }

    /** Returns how many more tasks of the job fit into a share of the given GPUs that has this usage. */
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
