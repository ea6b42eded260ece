package dewlane.core.config;

import java.util.List;
import java.util.Map;

/**
 * Settings from the deploy file and from the operators' file, as far as the core needs them.
 *
 * @param controllerName name of this controller
 * @param peers names of the other controllers of the deployment
 * @param teams quotas by team name
 * @param objectives service-level objectives
 * @param zones zones in which machines may be created
 * @param heartbeatIntervalS seconds between two heartbeats of a worker
 * @param workerLeaseS seconds after which a worker whose heartbeats are not answered kills its tasks
 * @param cancellationDeadlineS seconds within which the tasks of a cancelled job must have ended
 * @param store limits of the store
 * @param cloudRequestsPerS requests per second that the cloud accepts from all controllers together
 * @param cloudListLagS seconds by which the cloud's list of instances usually lags behind
 * @param tuning parameters with defaults, most of which operators can set
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
    /** The store accepts this many preconditions in a transaction for each write that it allows. */
    private static final int PRECONDITIONS_PER_WRITE = 4;
    /** Version 0.1 does not start if the store allows fewer writes per transaction. */
    private static final int MIN_TRANSACTION_WRITES_OF_0_1 = 8;
    /** Writes in the transaction with which version 0.1 ends a job, in addition to one per slice. */
    private static final int WRITES_TO_END_JOB = 3;

    private static final long MS_PER_S = 1000;
    /**
     * Heartbeat intervals after which a heartbeat counts as missed. Less than two, so a heartbeat may be delayed, but a
     * machine whose heartbeat is lost gets no tasks until the next one arrives.
     */
    private static final double HEARTBEAT_TIMEOUT_INTERVALS = 1.8;

    /**
     * Guarantee and limit of a team.
     *
     * @param name name of the team
     * @param guaranteedCpus CPUs up to which the team's jobs take precedence over those of other teams
     * @param guaranteedGpus GPUs up to which the team's jobs take precedence over those of other teams
     * @param maxCpus maximum CPUs that the team may use at the same time; 0 for no limit
     * @param maxGpus maximum GPUs that the team may use at the same time; 0 for no limit
     */
    public record TeamQuota(String name, double guaranteedCpus, double guaranteedGpus, double maxCpus, double maxGpus) {
        /** Returns true if the team's CPUs or GPUs are limited. */
        public boolean hasLimit() {
            return maxCpus > 0 || maxGpus > 0;
        }
    }

    /**
     * A service-level objective.
     *
     * @param kind the event that must happen in time, as named in the deploy file, such as {@code wait} or
     *     {@code finished}
     * @param jobClass class of the jobs to which the objective applies; null for all jobs
     * @param withinS seconds within which the event must happen; infinite if the objective sets no such time
     */
    public record ServiceLevelObjective(String kind, String jobClass, double withinS) {
        private boolean appliesTo(String otherKind, String otherClass) {
            return kind.equals(otherKind) && (jobClass == null || jobClass.equals(otherClass));
        }
    }

    /** Milliseconds without contact after which a machine gets no tasks. */
    public long heartbeatTimeoutMs() {
        return (long) (heartbeatIntervalS * (HEARTBEAT_TIMEOUT_INTERVALS * MS_PER_S));
    }

    /** Number of controllers in the deployment, including this one. */
    public int controllerCount() {
        return peers.size() + 1;
    }

    /** Requests per second that the store accepts from all controllers together. */
    public double storeRequestsPerS() {
        return store.requestsPerS();
    }

    /**
     * Milliseconds between requests of this controller if all controllers together use the given fraction of the rate.
     */
    public long storeRequestIntervalMs(double fraction) {
        return Math.round(MS_PER_S * controllerCount() / (storeRequestsPerS() * fraction));
    }

    /** Maximum size of a stored value, in bytes. */
    public int maxValueBytes() {
        return store.maxValueBytes();
    }

    /** Maximum number of writes in a transaction. */
    public int maxTransactionWrites() {
        return store.maxTransactionWrites();
    }

    /** Maximum number of preconditions in a transaction. */
    public int maxTransactionPreconditions() {
        return PRECONDITIONS_PER_WRITE * store.maxTransactionWrites();
    }

    /**
     * Maximum number of slices of a job. Version 0.1, which may run at the same time as this version during an upgrade,
     * deletes all slices of a job in the transaction that ends it. A job therefore gets no more slices than fit into
     * that transaction, unless the limits are such that version 0.1 does not start.
     */
    public int maxSlicesPerJob() {
        int maxWrites = store.current().maxTransactionWrites();
        return maxWrites < MIN_TRANSACTION_WRITES_OF_0_1 ? Integer.MAX_VALUE : maxWrites - WRITES_TO_END_JOB;
    }

    /**
     * Shortest time, in seconds, that an objective of the kind sets for jobs of the class; infinite if there is none.
     */
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
     * Parameters with defaults. Operators can set all but the last.
     *
     * @param memberLeaseTtlMs milliseconds after which the lease of a controller expires if it is not renewed
     * @param machineTimeoutS seconds after the last contact until an unresponsive machine is deleted
     * @param scaleInIdleS seconds that a machine must be idle before it is scaled in
     * @param bootTimeoutFactor multiple of the boot time after which an instance that has not booted is deleted
     * @param minPartitionedShareCpus smallest share of a controller, in CPUs, with which a team's limit is divided
     *     among the controllers; in GPUs a quarter of it. Operators cannot set it, because all controllers must use the
     *     same value.
     */
    public record Tuning(
            long memberLeaseTtlMs,
            double machineTimeoutS,
            double scaleInIdleS,
            double bootTimeoutFactor,
            double minPartitionedShareCpus) {
        /** Returns the values that apply if operators set nothing. */
        public static Tuning defaults() {
            return new Tuning(3000, 12, 60, 4, 256);
        }
    }
}
