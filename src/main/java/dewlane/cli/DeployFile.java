package dewlane.cli;

import dewlane.core.config.Settings;
import dewlane.core.config.Settings.ServiceLevelObjective;
import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.config.Settings.Tuning;
import dewlane.core.config.StoreLimits;
import dewlane.io.Endpoints;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings file that a deployment gives each controller, and the operators' own beside it. */
public record DeployFile(Settings settings, Endpoints endpoints) {
    private static final String VALUE_KB = "value_kb";
    private static final String TXN_OPS = "txn_ops";
    private static final int LEAST_OPS = StoreLimits.MIN_TRANSACTION_WRITES;

    /**
     * Reads and checks both files.
     *
     * @param operators the operators' own settings, or null for the defaults
     */
    public static DeployFile read(String file, String operators) throws SettingsException {
        Tuning tuning = operators == null ? Tuning.defaults() : tuning(TomlTable.read(operators));
        TomlTable top = TomlTable.read(file);
        Map<String, String> peers = new LinkedHashMap<>();
        for (TomlTable peer : top.tables("known")) {
            peer.text("area");
            peers.put(peer.text("node_name"), peer.address("address"));
        }
        TomlTable services = top.table("services");
        TomlTable resources = top.table("settings").table("resources");
        Endpoints endpoints = new Endpoints(
                top.address("serve_on"),
                top.address("peer_bind"),
                Map.copyOf(peers),
                services.address("cloud"),
                services.address("state"),
                resources.count("max_sockets", Endpoints.fewestSockets(peers.size())));
        top.text("area");
        TomlTable all = top.table("settings");
        all.count("initial_size", 1);
        all.number("time_bound_ms", 0);
        Map<String, TeamQuota> teams = new LinkedHashMap<>();
        for (TomlTable t : all.tables("teams")) {
            teams.put(
                    t.text("name"),
                    new TeamQuota(
                            t.text("name"),
                            t.number("cpus", 0, 0),
                            t.number("gpus", 0, 0),
                            t.number("cpus_max", 0, 0),
                            t.number("gpus_max", 0, 0)));
        }
        List<ServiceLevelObjective> objectives = new ArrayList<>();
        for (TomlTable objective : all.tables("objectives")) {
            objectives.add(new ServiceLevelObjective(
                    objective.text("kind"),
                    objective.has("class") ? objective.text("class") : null,
                    objective.number("within_s", 0, Double.POSITIVE_INFINITY)));
        }
        TomlTable workers = all.table("workers");
        TomlTable state = all.table("state");
        TomlTable cloud = all.table("cloud");
        resources.positive("cpu_share");
        resources.positive("ram_mb");
        Settings settings = new Settings(
                top.text("node_name"),
                endpoints.peerNames(),
                Map.copyOf(teams),
                List.copyOf(objectives),
                all.texts("zones"),
                workers.positive("report_s"),
                workers.positive("lease_s"),
                workers.positive("cancel_s"),
                stateLimits(state),
                cloud.positive("rps"),
                cloud.number("list_lag_s", 0),
                tuning);
        return new DeployFile(settings, endpoints);
    }

    /** The limits in force now and, where a key of {@code next} says so, those that replace them without notice. */
    private static StoreLimits stateLimits(TomlTable state) throws SettingsException {
        StoreLimits.Limits present = new StoreLimits.Limits(
                state.positive("rps"), state.positive("write_rps"), valueBytes(state), state.count(TXN_OPS, LEAST_OPS));
        if (!state.has("next")) {
            return new StoreLimits(present, present);
        }
        TomlTable next = state.table("next");
        return new StoreLimits(
                present,
                new StoreLimits.Limits(
                        next.has("rps") ? next.positive("rps") : present.requestsPerS(),
                        next.has("write_rps") ? next.positive("write_rps") : present.writesPerS(),
                        next.has(VALUE_KB) ? valueBytes(next) : present.maxValueBytes(),
                        next.has(TXN_OPS) ? next.count(TXN_OPS, LEAST_OPS) : present.maxTransactionWrites()));
    }

    private static int valueBytes(TomlTable limits) throws SettingsException {
        return (int) (1024 * limits.number(VALUE_KB, StoreLimits.MIN_VALUE_BYTES / 1024.0));
    }

    private static Tuning tuning(TomlTable in) throws SettingsException {
        Tuning d = Tuning.defaults();
        return new Tuning(
                (long) (1000 * in.number("member_ttl_s", 1, d.memberLeaseTtlMs() / 1000.0)),
                in.number("silent_s", 5, d.machineTimeoutS()),
                in.number("idle_s", 1, d.scaleInIdleS()),
                in.number("boot_patience", 1, d.bootTimeoutFactor()),
                d.partitionedQuotaCpus());
    }
}
