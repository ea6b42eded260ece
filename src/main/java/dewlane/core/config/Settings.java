package dewlane.core.config;

import java.util.List;
import java.util.Map;

/**
 * The deploy file and the operators' own settings, as far as the core needs them.
 *
 * @param controllerName the name of this controller
 * @param peers the names of the other controllers of the deployment
 * @param teams the teams' quotas by name
 * @param objectives the service-level objectives
 * @param zones the zones in which machines may be created
 * @param heartbeatIntervalS seconds between two heartbeats of a worker
 * @param workerLeaseS seconds after which a worker whose heartbeats are not answered kills its tasks
 * @param cancellationDeadlineS seconds within which the tasks of a cancelled job must have ended
 * @param store the limits of the store
 * @param cloudRequestsPerS requests a second that the cloud takes of all controllers
 * @param cloudListLagS seconds by which the cloud's list of instances usually lags
 * @param tuning what operators may change
 */
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
    /** The store takes so many times as many preconditions as writes. */
    private static final int PRECONDITIONS_PER_WRITE = 4;
    /** Version 0.1 does not start where a transaction may make fewer writes. */
    private static final int MIN_WRITES_OF_0_1 = 8;
    /** Writes of the transaction by which version 0.1 ends a job, besides one for each slice. */
    private static final int WRITES_TO_END_JOB = 3;

    private static final long MS_PER_S = 1000;
    /** A heartbeat counts as missed after so many intervals: one may be late, or lost on the way. */
    private static final double HEARTBEAT_TIMEOUT_INTERVALS = 1.8;

    /**
     * What a team is entitled to and limited to.
     *
     * @param name the team's name
     * @param guaranteedCpus CPUs up to which the team's work comes before that of others
     * @param guaranteedGpus GPUs up to which the team's work comes before that of others
     * @param maxCpus the most CPUs that the team may use at once; 0 for no limit
     * @param maxGpus the most GPUs that the team may use at once; 0 for no limit
     */
    public record TeamQuota(String name, double guaranteedCpus, double guaranteedGpus, double maxCpus, double maxGpus) {
        /** True if the team has a limit of CPUs or GPUs. */
        public boolean hasLimit() {
            return maxCpus > 0 || maxGpus > 0;
        }
    }

    /**
     * A service-level objective.
     *
     * @param kind what is to happen in time, in the deploy file's words, such as {@code wait} or {@code finished}
     * @param jobClass the class of jobs that it is for, or null if it is for all
     * @param withinS seconds within which it is to happen; infinite if the objective is of another form
     */
    public record ServiceLevelObjective(String kind, String jobClass, double withinS) {
        private boolean appliesTo(String otherKind, String otherClass) {
            return kind.equals(otherKind) && (jobClass == null || jobClass.equals(otherClass));
        }
    }

    /** Milliseconds after which a machine without a heartbeat gets no tasks. */
    public long heartbeatTimeoutMs() {
        return (long) (heartbeatIntervalS * (HEARTBEAT_TIMEOUT_INTERVALS * MS_PER_S));
    }

    /** How many controllers the deployment has, this one included. */
    public int controllerCount() {
        return peers.size() + 1;
    }

    /** Requests a second that the store takes of all controllers. */
    public double storeRequestsPerS() {
        return store.requestsPerS();
    }

    /** Milliseconds between requests of this controller, if all together take the given fraction of the rate. */
    public long storeRequestIntervalMs(double fraction) {
        return Math.round(MS_PER_S * controllerCount() / (storeRequestsPerS() * fraction));
    }

    /** The most bytes that a stored value may have. */
    public int maxValueBytes() {
        return store.maxValueBytes();
    }

    /** The most writes that a transaction may make. */
    public int maxTransactionWrites() {
        return store.maxTransactionWrites();
    }

    /** The most preconditions that a transaction may have. */
    public int maxTransactionPreconditions() {
        return PRECONDITIONS_PER_WRITE * store.maxTransactionWrites();
    }

    /**
     * The most slices that a job is cut into. Version 0.1 ends a job by one transaction that deletes all its slices,
     * and may run beside this one, so no job gets more than that version can end.
     */
    public int maxSlicesPerJob() {
        int present = store.current().maxTransactionWrites();
        return present < MIN_WRITES_OF_0_1 ? Integer.MAX_VALUE : present - WRITES_TO_END_JOB;
    }

    /** The shortest time, in seconds, that an objective of the kind gives jobs of the class; infinite without one. */
    public double shortestObjectiveS(String kind, String jobClass) {
        double shortestS = Double.POSITIVE_INFINITY;
        for (ServiceLevelObjective objective : objectives) {
            if (objective.appliesTo(kind, jobClass)) {
                shortestS = Math.min(shortestS, objective.withinS());
            }
        }
        return shortestS;
    }

    /**
     * What operators may change.
     *
     * @param memberLeaseTtlMs milliseconds after which the lease of a silent controller expires
     * @param machineTimeoutS seconds of silence after which a machine is deleted
     * @param scaleInIdleS seconds that a machine must be idle before it is scaled in
     * @param bootTimeoutFactor multiple of the boot time after which a machine that never came up is deleted
     * @param minPartitionedShareCpus a team's limit of so many CPUs a controller, or a quarter as many GPUs, is divided
     *     among them; all controllers must agree on it, so operators' files do not set it
     */
    public record Tuning(
            long memberLeaseTtlMs,
            double machineTimeoutS,
            double scaleInIdleS,
            double bootTimeoutFactor,
            double minPartitionedShareCpus) {
        /** What applies where operators set nothing. */
        public static Tuning defaults() {
            return new Tuning(3000, 12, 60, 4, 256);
        }
    }
}
