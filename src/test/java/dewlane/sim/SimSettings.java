package dewlane.sim;

import dewlane.core.config.Settings;
import dewlane.core.config.StoreLimits;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Builds the settings of a simulated cluster. The defaults describe a small cluster. */
final class SimSettings {
    static final StoreLimits.Limits DEFAULT_LIMITS = new StoreLimits.Limits(150, 60, 16_384, 16);
    static final Settings.TeamQuota TEAM_WITHOUT_LIMIT = new Settings.TeamQuota("blue", 0, 0, 0, 0);

    private static final long MEMBER_TTL_MS = 3000;
    private static final double BOOT_TIMEOUT_FACTOR = 4;

    private int controllers = 3;
    private List<Settings.TeamQuota> teams = List.of(TEAM_WITHOUT_LIMIT);
    private List<Settings.ServiceLevelObjective> objectives = List.of();
    private double heartbeatIntervalS = 3;
    private double leaseS = 30;
    private double cancellationDeadlineS = 60;
    private StoreLimits limits = new StoreLimits(DEFAULT_LIMITS, DEFAULT_LIMITS);
    private double cloudRequestsPerS = 10;
    private double listLagS = 3;
    private double machineTimeoutS = 12;
    private double scaleInIdleS = 300;
    private double minPartitionedShareCpus = 256;

    /** Sets the number of controllers. */
    SimSettings controllers(int value) {
        controllers = value;
        return this;
    }

    /** Sets the teams with their guarantees and quotas. */
    SimSettings teams(Settings.TeamQuota... value) {
        teams = List.of(value);
        return this;
    }

    /** Sets the service-level objectives. */
    SimSettings objectives(Settings.ServiceLevelObjective... value) {
        objectives = List.of(value);
        return this;
    }

    /** Sets the heartbeat interval, the worker lease and the cancellation deadline, in seconds. */
    SimSettings workerTimes(double heartbeat, double lease, double cancel) {
        heartbeatIntervalS = heartbeat;
        leaseS = lease;
        cancellationDeadlineS = cancel;
        return this;
    }

    /** Sets the current and the next limits of the store. */
    SimSettings storeLimits(StoreLimits value) {
        limits = value;
        return this;
    }

    /** Sets the cloud's rate limit in requests per second and the lag of its list of machines in seconds. */
    SimSettings cloud(double requestsPerS, double lagS) {
        cloudRequestsPerS = requestsPerS;
        listLagS = lagS;
        return this;
    }

    /** Sets the time without a heartbeat after which a machine is deleted. */
    SimSettings machineTimeoutS(double value) {
        machineTimeoutS = value;
        return this;
    }

    /** Sets how long a machine must be idle before it is scaled in. */
    SimSettings scaleInIdleS(double value) {
        scaleInIdleS = value;
        return this;
    }

    /**
     * Sets the CPUs per controller from which on a quota is divided among the controllers; launches under a smaller
     * quota are serialized.
     */
    SimSettings minPartitionedShareCpus(double value) {
        minPartitionedShareCpus = value;
        return this;
    }

    Settings build() {
        Map<String, Settings.TeamQuota> teamsByName =
                teams.stream().collect(Collectors.toMap(Settings.TeamQuota::name, team -> team));
        return new Settings(
                "none",
                names(controllers),
                teamsByName,
                objectives,
                List.of("east", "west"),
                heartbeatIntervalS,
                leaseS,
                cancellationDeadlineS,
                limits,
                cloudRequestsPerS,
                listLagS,
                new Settings.Tuning(
                        MEMBER_TTL_MS, machineTimeoutS, scaleInIdleS, BOOT_TIMEOUT_FACTOR, minPartitionedShareCpus));
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "n" + i).toList();
    }
}
