package dewlane.core.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.StoreLimits;
import dewlane.core.config.TestSettings;
import dewlane.core.message.ControllerContext;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the write rate that a controller uses with a store whose limit is reduced without notice, refuses writes for a
 * time, or is unavailable.
 */
class WriteRateLimiterTest {
    private static final int CONTROLLERS = 5;
    private static final StoreLimits LIMITS =
            new StoreLimits(new StoreLimits.Limits(150, 30, 32_768, 16), new StoreLimits.Limits(150, 21, 2048, 5));

    private final ControllerContext context = new ControllerContext(
            TestSettings.of(List.of(), Map.of(), TestSettings.CANCELLATION_DEADLINE_S, LIMITS), 1);
    private final WriteRateLimiter limiter = new WriteRateLimiter(context);
    private long nowMs;

    /**
     * Writes as much as the limiter allows, as if all controllers did the same, to a store that allows the given rate
     * with a burst of one second. Returns the number of successful writes per second.
     */
    private double writeAtFullRate(double allowedPerS, int seconds) {
        limiter.setControllerCount(CONTROLLERS);
        double storeTokens = allowedPerS;
        int written = 0;
        for (int i = 0; i < seconds * 10; i++) {
            nowMs += 100;
            context.beginInput(nowMs, nowMs);
            storeTokens = Math.min(allowedPerS, storeTokens + allowedPerS / 10);
            while (limiter.tokens() >= 1) {
                limiter.spend(1);
                if (storeTokens >= CONTROLLERS) {
                    storeTokens -= CONTROLLERS;
                    written += CONTROLLERS;
                } else {
                    limiter.onRefused(true);
                }
            }
        }
        return (double) written / seconds;
    }

    @Test
    void initialRateIsUsedUntilReducedAndReducedRateSoonAfter() {
        writeAtFullRate(30, 20);
        double before = writeAtFullRate(30, 30);
        assertTrue(before > 0.8 * 30, before + " writes per second before");
        writeAtFullRate(21, 3);
        double after = writeAtFullRate(21, 30);
        assertTrue(after > 0.75 * 21 && after <= 21 + 21 / 30.0, after + " writes per second after");
    }

    @Test
    void temporaryRefusalsReduceRateOnlyTemporarily() {
        writeAtFullRate(30, 20);
        writeAtFullRate(8, 3);
        writeAtFullRate(30, 90);
        double later = writeAtFullRate(30, 30);
        assertTrue(later > 0.8 * 30, later + " writes per second later");
    }

    @Test
    void outageDoesNotReduceRate() {
        writeAtFullRate(30, 10);
        for (int i = 0; i < 100; i++) {
            nowMs += 20;
            context.beginInput(nowMs, nowMs);
            limiter.onRefused(false);
        }
        double later = writeAtFullRate(30, 30);
        assertTrue(later > 0.8 * 30, later + " writes per second later");
    }
}
