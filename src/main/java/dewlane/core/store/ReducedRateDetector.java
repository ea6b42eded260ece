package dewlane.core.store;

import dewlane.core.config.StoreLimits;
import dewlane.core.message.ControllerContext;

/**
 * Finds out whether the smaller write rate, which comes into force without notice, already is. Writes that are refused
 * although this controller takes no more than an equal share of the larger rate show it. Now and then the larger rate
 * is tried again, so that refusals for another reason slow nothing down for good.
 */
final class ReducedRateDetector {
    /** So many refusals at an equal share, within so long, mean that the smaller rate is in force. */
    private static final int MIN_REFUSALS = 2;

    private static final long REFUSAL_WINDOW_MS = 2000;
    /**
     * How long the smaller rate is taken for granted; twice as long each time that the next refusals prove it right.
     */
    private static final long REDUCED_MS = 60_000;

    private static final int MAX_DOUBLINGS = 4;

    private final ControllerContext context;
    private final StoreLimits limits;
    private int refusals;
    private long windowStartMs = ControllerContext.NEVER_MS;
    private long reducedUntilMs = ControllerContext.NEVER_MS;
    private int doublings;

    ReducedRateDetector(ControllerContext context) {
        this.context = context;
        this.limits = context.settings().store();
    }

    /** True while the smaller rate is taken to be in force. */
    boolean isReduced() {
        return context.nowMs() < reducedUntilMs;
    }

    /** Writes a second that all controllers together may make. */
    double writesPerS() {
        return isReduced() ? limits.reducedWritesPerS() : limits.current().writesPerS();
    }

    /** A write was refused for the rate while this controller took no more than an equal share of the present one. */
    void onRefusedAtEqualShare() {
        if (isReduced()) {
            return;
        }
        long nowMs = context.nowMs();
        if (nowMs - windowStartMs > REFUSAL_WINDOW_MS) {
            windowStartMs = nowMs;
            refusals = 0;
        }
        refusals++;
        if (refusals >= MIN_REFUSALS
                && limits.reducedWritesPerS() < limits.current().writesPerS()) {
            reduce(nowMs);
        }
    }

    private void reduce(long nowMs) {
        boolean wasRight = nowMs - reducedUntilMs < 2 * REFUSAL_WINDOW_MS;
        doublings = wasRight ? Math.min(MAX_DOUBLINGS, doublings + 1) : 0;
        reducedUntilMs = nowMs + (REDUCED_MS << doublings);
        context.info("writes are refused at " + limits.current().writesPerS() + " a second, reducing the rate to "
                + limits.reducedWritesPerS());
    }
}
