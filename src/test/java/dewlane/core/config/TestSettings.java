package dewlane.core.config;

import java.util.List;
import java.util.Map;

/** Settings for unit tests of a controller's components. */
public final class TestSettings {
    public static final StoreLimits STORE_LIMITS = StoreLimits.constant(100, 100, 16_384, 16);
    public static final double CANCELLATION_DEADLINE_S = 60;

    private TestSettings() {}

    /** Returns settings of a controller without peers or teams. */
    public static Settings singleController() {
        return of(List.of(), Map.of(), CANCELLATION_DEADLINE_S, STORE_LIMITS);
    }

    /** Returns settings of controller n0 with one zone, heartbeats every 3 s and worker leases of 30 s. */
    public static Settings of(
            List<String> peers,
            Map<String, Settings.TeamQuota> teams,
            double cancellationDeadlineS,
            StoreLimits limits) {
        return new Settings(
                "n0",
                peers,
                teams,
                List.of(),
                List.of("east"),
                3,
                30,
                cancellationDeadlineS,
                limits,
                5,
                5,
                Settings.Tuning.defaults());
    }
}
