package dewlane.core.config;

import java.util.List;
import java.util.Map;

/** The deploy file and the operators' own settings, as far as the core needs them. */
public record Settings(
        String node,
        List<String> peers,
        Map<String, TeamQuota> teams,
        List<ServiceLevelObjective> objectives,
        List<String> zones,
        double reportS,
        double leaseS,
        double cancelS,
        StoreLimits state,
        double cloudRps,
        double listLagS,
        Tuning tuning) {
    /** The state service takes so many times as many conditions as changes. */
    private static final int GUARDS_PER_OP = 4;
    /** Version 0.1 does not start where a transaction may make fewer changes. */
    private static final int LEAST_OPS_OF_0_1 = 8;

    /** A team's guarantee and limit; a limit of 0 is none. */
    public record TeamQuota(String name, double cpus, double gpus, double cpusMax, double gpusMax) {
        /** True if the team has a limit of CPUs or GPUs. */
        public boolean limited() {
            return cpusMax > 0 || gpusMax > 0;
        }
    }

    /** An aim of the users for a class of jobs; {@code lot} is null if it is for all. */
    public record ServiceLevelObjective(String kind, String lot, double withinS) {}

    /** A machine not heard for so long takes no tasks. */
    public long heardMs() {
        return (long) (reportS * 1800);
    }

    /** Requests a second that the state service takes. */
    public double stateRps() {
        return state.rps();
    }

    /** Bytes that a stored value may have. */
    public int valueBytes() {
        return state.valueBytes();
    }

    /** Changes that a transaction may make. */
    public int txnOps() {
        return state.txnOps();
    }

    /** Conditions that a transaction may have. */
    public int txnGuards() {
        return GUARDS_PER_OP * state.txnOps();
    }

    /**
     * Slices that a job is cut into at most. Version 0.1 ends a job by one transaction that deletes all its slices, and
     * may run beside this one, so no job gets more than that version can end.
     */
    public int mostSlices() {
        int present = state.present().txnOps();
        return present < LEAST_OPS_OF_0_1 ? Integer.MAX_VALUE : present - 3;
    }

    /** The shortest time that an aim of the kind gives jobs of the class, or infinity. */
    public double within(String kind, String lot) {
        double least = Double.POSITIVE_INFINITY;
        for (ServiceLevelObjective o : objectives) {
            if (o.kind().equals(kind) && (o.lot() == null || o.lot().equals(lot))) {
                least = Math.min(least, o.withinS());
            }
        }
        return least;
    }

    /**
     * What operators may change.
     *
     * @param memberTtlMs how long a silent controller stays in the map
     * @param silentS silence after which a machine is deleted
     * @param idleS how long a machine must be idle before it is returned
     * @param bootPatience multiple of the boot time after which a machine that never came up is deleted
     * @param sharedCpus a team's limit of so many CPUs a controller, or a quarter as many GPUs, is divided among them;
     *     all controllers must agree on it, so operators' files do not set it
     */
    public record Tuning(long memberTtlMs, double silentS, double idleS, double bootPatience, double sharedCpus) {
        /** What holds where operators set nothing. */
        public static Tuning defaults() {
            return new Tuning(3000, 12, 60, 4, 256);
        }
    }
}
