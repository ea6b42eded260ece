package dewlane.core.config;

import java.util.List;
import java.util.Map;

/** Settings for tests of single parts of a controller. */
public final class TestSettings {
    public static final StoreLimits STORE_LIMITS = StoreLimits.constant(100, 100, 16_384, 16);
    public static final double CANCELLATION_DEADLINE_S = 60;

    private TestSettings() {}

    /** A controller without peers or teams. */
    public static Settings singleController() {
        return of(List.of(), Map.of(), CANCELLATION_DEADLINE_S, STORE_LIMITS);
    }

    /** Controller n0 in one zone, with workers' leases of 30 s. */
    public static Settings of(
            List<String> peers, Map<String, Settings.TeamQuota> teams, double cancelS, StoreLimits limits) {
        return new Settings(
                "n0",
                peers,
                teams,
                List.of(),
                List.of("east"),
                3,
                30,
                cancelS,
                limits,
                5,
                5,
                Settings.Tuning.defaults());
    }
}
