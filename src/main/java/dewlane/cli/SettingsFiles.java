package dewlane.cli;

import dewlane.core.config.Settings;
import dewlane.core.config.Settings.ServiceLevelObjective;
import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.config.Settings.Tuning;
import dewlane.core.config.StoreLimits;
import dewlane.io.NetworkSettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings of a controller, read from the file of its deployment and an optional file of the operators. */
public record SettingsFiles(Settings settings, NetworkSettings network) {
    private static final double BYTES_PER_KB = 1024;
    private static final String VALUE_KB = "value_kb";
    private static final String TXN_OPS = "txn_ops";
    private static final int MIN_TXN_OPS = StoreLimits.MIN_TRANSACTION_WRITES;

    /**
     * Reads and checks both files.
     *
     * @param operators the operators' file, or null for the defaults
     * @throws SettingsException if a file cannot be read or a field is invalid; the message names the first such field
     */
    public static SettingsFiles read(String file, String operators) throws SettingsException {
        Tuning tuning = operators == null ? Tuning.defaults() : tuning(TomlTable.read(operators));
        TomlTable top = TomlTable.read(file);
        NetworkSettings network = network(top);
        checkUnused(top);
        return new SettingsFiles(settings(top, network, tuning), network);
    }

    private static NetworkSettings network(TomlTable top) throws SettingsException {
        Map<String, String> peers = new LinkedHashMap<>();
        for (TomlTable peer : top.tables("known")) {
            peer.text("area");
            peers.put(peer.text("node_name"), peer.address("address"));
        }
        TomlTable services = top.table("services");
        TomlTable resources = top.table("settings").table("resources");
        return new NetworkSettings(
                top.address("serve_on"),
                top.address("peer_bind"),
                Map.copyOf(peers),
                services.address("cloud"),
                services.address("state"),
                resources.count("max_sockets", NetworkSettings.minSockets(peers.size())));
    }

    /** Checks the fields that every deployment sets but the controller does not use. */
    private static void checkUnused(TomlTable top) throws SettingsException {
        top.text("area");
        TomlTable settings = top.table("settings");
        settings.count("initial_size", 1);
        settings.number("time_bound_ms", 0);
    }

    private static Settings settings(TomlTable top, NetworkSettings network, Tuning tuning) throws SettingsException {
        TomlTable settings = top.table("settings");
        Map<String, TeamQuota> teams = teams(settings);
        List<ServiceLevelObjective> objectives = objectives(settings);
        TomlTable workers = settings.table("workers");
        TomlTable store = settings.table("state");
        TomlTable cloud = settings.table("cloud");
        TomlTable resources = settings.table("resources");
        resources.positive("cpu_share");
        resources.positive("ram_mb");
        return new Settings(
                top.text("node_name"),
                network.peerNames(),
                teams,
                objectives,
                settings.texts("zones"),
                workers.positive("report_s"),
                workers.positive("lease_s"),
                workers.positive("cancel_s"),
                storeLimits(store),
                cloud.positive("rps"),
                cloud.number("list_lag_s", 0),
                tuning);
    }

    private static Map<String, TeamQuota> teams(TomlTable settings) throws SettingsException {
        Map<String, TeamQuota> teams = new LinkedHashMap<>();
        for (TomlTable team : settings.tables("teams")) {
            TeamQuota quota = new TeamQuota(
                    team.text("name"),
                    team.number("cpus", 0, 0),
                    team.number("gpus", 0, 0),
                    team.number("cpus_max", 0, 0),
                    team.number("gpus_max", 0, 0));
            teams.put(quota.name(), quota);
        }
        return Map.copyOf(teams);
    }

    private static List<ServiceLevelObjective> objectives(TomlTable settings) throws SettingsException {
        List<ServiceLevelObjective> objectives = new ArrayList<>();
        for (TomlTable objective : settings.tables("objectives")) {
            objectives.add(new ServiceLevelObjective(
                    objective.text("kind"),
                    objective.has("class") ? objective.text("class") : null,
                    objective.number("within_s", 0, Double.POSITIVE_INFINITY)));
        }
        return List.copyOf(objectives);
    }

    /**
     * Reads the store's current limits and those that may replace them without notice. A limit without a key in
     * {@code next} stays as it is.
     */
    private static StoreLimits storeLimits(TomlTable store) throws SettingsException {
        StoreLimits.Limits current = new StoreLimits.Limits(
                store.positive("rps"),
                store.positive("write_rps"),
                valueBytes(store),
                store.count(TXN_OPS, MIN_TXN_OPS));
        if (!store.has("next")) {
            return new StoreLimits(current, current);
        }
        TomlTable next = store.table("next");
        return new StoreLimits(
                current,
                new StoreLimits.Limits(
                        next.has("rps") ? next.positive("rps") : current.requestsPerS(),
                        next.has("write_rps") ? next.positive("write_rps") : current.writesPerS(),
                        next.has(VALUE_KB) ? valueBytes(next) : current.maxValueBytes(),
                        next.has(TXN_OPS) ? next.count(TXN_OPS, MIN_TXN_OPS) : current.maxTransactionWrites()));
    }

    private static int valueBytes(TomlTable limits) throws SettingsException {
        return (int) (BYTES_PER_KB * limits.number(VALUE_KB, StoreLimits.MIN_VALUE_BYTES / BYTES_PER_KB));
    }

    private static Tuning tuning(TomlTable operators) throws SettingsException {
        Tuning defaults = Tuning.defaults();
        return new Tuning(
                (long) (1000 * operators.number("member_ttl_s", 1, defaults.memberLeaseTtlMs() / 1000.0)),
                operators.number("silent_s", 5, defaults.machineTimeoutS()),
                operators.number("idle_s", 1, defaults.scaleInIdleS()),
                operators.number("boot_patience", 1, defaults.bootTimeoutFactor()),
                defaults.minPartitionedShareCpus());
    }
}
