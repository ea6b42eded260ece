package dewlane.core.store;

import dewlane.core.config.StoreLimits;
import dewlane.core.message.ControllerContext;

/**
 * Detects whether the reduced limit of the write rate, which replaces the initial one without notice, is in force. It
 * is taken to be if writes are refused although this controller uses no more than an equal share of the initial rate.
 * The initial rate is tried again from time to time, so that refusals for other reasons do not reduce the rate
 * permanently.
 */
final class ReducedRateDetector {
    /** The number of refusals at an equal share within the window that indicates the reduced rate. */
    private static final int MIN_REFUSALS = 2;

    private static final long REFUSAL_WINDOW_MS = 2000;
    /**
     * How long the reduced rate is assumed to be in force before the initial one is tried again. The time doubles each
     * time that refusals follow soon after that, which confirms the reduced rate.
     */
    private static final long REDUCED_PERIOD_MS = 60_000;

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

    /** Returns true while the reduced rate is assumed to be in force. */
    boolean isReduced() {
        return context.nowMs() < reducedUntilMs;
    }

    /** Returns the writes per second that all controllers together may make. */
    double writesPerS() {
        return isReduced() ? limits.reducedWritesPerS() : limits.current().writesPerS();
    }

    /**
     * Called when a write was refused because of the rate limit while this controller used no more than an equal share
     * of the assumed rate.
     */
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
        boolean confirmed = nowMs - reducedUntilMs < 2 * REFUSAL_WINDOW_MS;
        doublings = confirmed ? Math.min(MAX_DOUBLINGS, doublings + 1) : 0;
        reducedUntilMs = nowMs + (REDUCED_PERIOD_MS << doublings);
        context.info("writes are refused at " + limits.current().writesPerS() + " a second, reducing the rate to "
                + limits.reducedWritesPerS());
    }
}
