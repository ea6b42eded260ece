package dewlane.core.model;

import dewlane.core.config.Settings;

/** CPUs, GPUs and memory in use, counted in millionths so that what is added and taken away leaves no rest. */
public final class ResourceUsage {
    private static final double UNIT = 1e6;

    private long cpus;
    private long gpus;
    private long memory;

    public ResourceUsage() {}

    public ResourceUsage(ResourceUsage other) {
        cpus = other.cpus;
        gpus = other.gpus;
        memory = other.memory;
    }

    private static long units(double amount) {
        return Math.round(amount * UNIT);
    }

    /** Adds another usage; returns this one. */
    public ResourceUsage add(ResourceUsage other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory += other.memory;
        return this;
    }

    /** Adds one task of the job. */
    public void add(Job job) {
        add(job, 1);
    }

    /** Adds that many tasks of the job; removes them if negative. */
    public void add(Job job, int tasks) {
        cpus += tasks * units(job.cpus());
        gpus += tasks * units(job.gpus());
        memory += tasks * units(job.memoryGb());
    }

    /** Removes one task of the job. */
    public void remove(Job job) {
        add(job, -1);
    }

    /** CPUs in use. */
    public double cpus() {
        return cpus / UNIT;
    }

    /** GPUs in use. */
    public double gpus() {
        return gpus / UNIT;
    }

    /** True if nothing is in use. */
    public boolean isEmpty() {
        return cpus == 0 && gpus == 0 && memory == 0;
    }

    /** How many tasks of the job fit beside this use on a machine of the type. */
    public int capacityFor(MachineType type, Job job) {
        return (int) Math.min(
                countFitting(type.cpus(), cpus, job.cpus()),
                Math.min(
                        countFitting(type.gpus(), gpus, job.gpus()),
                        countFitting(type.memoryGb(), memory, job.memoryGb())));
    }

    /** How many tasks of the job fit beside this use within a team's limits, of which 0 is none. */
    public int capacityFor(Settings.TeamQuota team, Job job) {
        long byCpus = team.maxCpus() <= 0 ? Integer.MAX_VALUE : countFitting(team.maxCpus(), cpus, job.cpus());
        long byGpus = team.maxGpus() <= 0 ? Integer.MAX_VALUE : countFitting(team.maxGpus(), gpus, job.gpus());
        return (int) Math.min(byCpus, byGpus);
    }

    /** How many tasks fit into a share of a limit of CPUs or else GPUs; a limit of 0 is none. */
    public int capacityFor(double limit, double share, boolean ofCpus, Job job) {
        return limit <= 0
                ? 1_000_000
                : (int) (ofCpus ? countFitting(share, cpus, job.cpus()) : countFitting(share, gpus, job.gpus()));
    }

    private static long countFitting(double have, long used, double each) {
        long need = units(each);
        return need <= 0 ? 1_000_000 : Math.max(0, Math.min(1_000_000, (units(have) - used) / need));
    }
}
