package dewlane.core.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.StoreLimits;
import dewlane.core.config.TestSettings;
import dewlane.core.message.ControllerContext;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The share of the rate of changes, against a store whose limit becomes smaller. */
class WriteRateLimiterTest {
    private static final int CONTROLLERS = 5;
    private static final StoreLimits LIMITS =
            new StoreLimits(new StoreLimits.Limits(150, 30, 32_768, 16), new StoreLimits.Limits(150, 21, 2048, 5));

    private final ControllerContext context = new ControllerContext(
            TestSettings.of(List.of(), Map.of(), TestSettings.CANCELLATION_DEADLINE_S, LIMITS), 1);
    private final WriteRateLimiter budget = new WriteRateLimiter(context);
    private long now;

    /**
     * Spends whatever there is for some time, all controllers alike, with a service that allows the given rate and a
     * burst of one second's worth; returns the changes that were carried out a second.
     */
    private double spend(double allowed, int seconds) {
        budget.shareAmong(CONTROLLERS);
        double left = allowed;
        int done = 0;
        for (int i = 0; i < seconds * 10; i++) {
            now += 100;
            context.beginInput(now, now);
            left = Math.min(allowed, left + allowed / 10);
            while (budget.tokens() >= 1) {
                budget.spend(1);
                if (left >= CONTROLLERS) {
                    left -= CONTROLLERS;
                    done += CONTROLLERS;
                } else {
                    budget.onRefused(true);
                }
            }
        }
        return (double) done / seconds;
    }

    @Test
    void largerRateIsUsedWhileItLastsAndSmallerOneSoonAfter() {
        spend(30, 20);
        double before = spend(30, 30);
        assertTrue(before > 0.8 * 30, before + " a second before");
        spend(21, 3);
        double after = spend(21, 30);
        assertTrue(after > 0.75 * 21 && after <= 21 + 21 / 30.0, after + " a second after");
    }

    @Test
    void refusalsForOtherReasonSlowWritesOnlyForWhile() {
        spend(30, 20);
        spend(8, 3);
        spend(30, 90);
        double later = spend(30, 30);
        assertTrue(later > 0.8 * 30, later + " a second later");
    }

    @Test
    void outageDoesNotReduceRate() {
        spend(30, 10);
        for (int i = 0; i < 100; i++) {
            now += 20;
            context.beginInput(now, now);
            budget.onRefused(false);
        }
        double later = spend(30, 30);
        assertTrue(later > 0.8 * 30, later + " a second later");
    }
}
