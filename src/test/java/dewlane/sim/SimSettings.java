package dewlane.sim;

import dewlane.core.config.Settings;
import dewlane.core.config.StoreLimits;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Builds the settings of a simulated cluster. What a test does not name is as in the usual small cluster. */
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

    /** The number of controllers. */
    SimSettings controllers(int value) {
        controllers = value;
        return this;
    }

    /** The teams, with their guarantees and quotas. */
    SimSettings teams(Settings.TeamQuota... value) {
        teams = List.of(value);
        return this;
    }

    /** What users aim at for their jobs. */
    SimSettings objectives(Settings.ServiceLevelObjective... value) {
        objectives = List.of(value);
        return this;
    }

    /** How often workers report, how long their leases last and how long a cancellation may take. */
    SimSettings workerTimes(double heartbeat, double lease, double cancel) {
        heartbeatIntervalS = heartbeat;
        leaseS = lease;
        cancellationDeadlineS = cancel;
        return this;
    }

    /** The limits of the store, the present ones and those to come. */
    SimSettings storeLimits(StoreLimits value) {
        limits = value;
        return this;
    }

    /** Requests a second that the cloud takes, and how late it lists machines. */
    SimSettings cloud(double requestsPerS, double lagS) {
        cloudRequestsPerS = requestsPerS;
        listLagS = lagS;
        return this;
    }

    /** Silence after which a machine is deleted. */
    SimSettings machineTimeoutS(double value) {
        machineTimeoutS = value;
        return this;
    }

    /** How long a machine must be idle before it is returned. */
    SimSettings scaleInIdleS(double value) {
        scaleInIdleS = value;
        return this;
    }

    /** A quota of at least so many CPUs a controller is divided among them; a smaller one is lent launch by launch. */
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
