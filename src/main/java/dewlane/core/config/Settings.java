package dewlane.core.config;

import java.util.List;
import java.util.Map;

/** The deploy file and the operators' own settings, as far as the core needs them. */
public record Settings(
        String controllerName,
        List<String> peers,
        Map<String, TeamQuota> teams,
        List<ServiceLevelObjective> objectives,
        List<String> zones,
        double heartbeatIntervalS,
        double workerLeaseS,
        double cancellationDeadlineS,
        StoreLimits store,
        double cloudRequestsPerS,
        double cloudListLagS,
        Tuning tuning) {
    /** The state service takes so many times as many conditions as changes. */
    private static final int PRECONDITIONS_PER_WRITE = 4;
    /** Version 0.1 does not start where a transaction may make fewer changes. */
    private static final int MIN_WRITES_OF_0_1 = 8;

    /** A team's guarantee and limit; a limit of 0 is none. */
    public record TeamQuota(String name, double guaranteedCpus, double guaranteedGpus, double maxCpus, double maxGpus) {
        /** True if the team has a limit of CPUs or GPUs. */
        public boolean hasLimit() {
            return maxCpus > 0 || maxGpus > 0;
        }
    }

    /** An aim of the users for a class of jobs; {@code lot} is null if it is for all. */
    public record ServiceLevelObjective(String kind, String jobClass, double withinS) {}

    /** A machine not heard for so long takes no tasks. */
    public long heartbeatTimeoutMs() {
        return (long) (heartbeatIntervalS * 1800);
    }

    /** Requests a second that the state service takes. */
    public double storeRequestsPerS() {
        return store.requestsPerS();
    }

    /** Bytes that a stored value may have. */
    public int maxValueBytes() {
        return store.maxValueBytes();
    }

    /** Changes that a transaction may make. */
    public int maxTransactionWrites() {
        return store.maxTransactionWrites();
    }

    /** Conditions that a transaction may have. */
    public int maxTransactionPreconditions() {
        return PRECONDITIONS_PER_WRITE * store.maxTransactionWrites();
    }

    /**
     * Slices that a job is cut into at most. Version 0.1 ends a job by one transaction that deletes all its slices, and
     * may run beside this one, so no job gets more than that version can end.
     */
    public int maxSlicesPerJob() {
        int present = store.present().maxTransactionWrites();
        return present < MIN_WRITES_OF_0_1 ? Integer.MAX_VALUE : present - 3;
    }

    /** The shortest time that an aim of the kind gives jobs of the class, or infinity. */
    public double objectiveS(String kind, String lot) {
        double least = Double.POSITIVE_INFINITY;
        for (ServiceLevelObjective objective : objectives) {
            if (objective.kind().equals(kind)
                    && (objective.jobClass() == null || objective.jobClass().equals(lot))) {
                least = Math.min(least, objective.withinS());
            }
        }
        return least;
    }

    /**
     * What operators may change.
     *
     * @param memberLeaseTtlMs how long a silent controller stays in the map
     * @param machineTimeoutS silence after which a machine is deleted
     * @param scaleInIdleS how long a machine must be idle before it is returned
     * @param bootTimeoutFactor multiple of the boot time after which a machine that never came up is deleted
     * @param partitionedQuotaCpus a team's limit of so many CPUs a controller, or a quarter as many GPUs, is divided
     *     among them; all controllers must agree on it, so operators' files do not set it
     */
    public record Tuning(
            long memberLeaseTtlMs,
            double machineTimeoutS,
            double scaleInIdleS,
            double bootTimeoutFactor,
            double partitionedQuotaCpus) {
        /** What holds where operators set nothing. */
        public static Tuning defaults() {
            return new Tuning(3000, 12, 60, 4, 256);
        }
    }
}
