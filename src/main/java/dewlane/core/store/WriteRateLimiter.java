package dewlane.core.store;

import dewlane.core.config.StoreLimits;
import dewlane.core.message.ControllerContext;

/**
 * A token bucket that limits this controller to its share of the store's write rate. The share is an equal one at first
 * and grows while the store refuses no writes, as other controllers may not use all of theirs. The
 * {@link ReducedRateDetector} determines the rate that is shared.
 */
final class WriteRateLimiter {
    /** The fraction of the rate that the controllers share. Lease renewals and other clients use some of the rest. */
    private static final double PLANNED_FRACTION = 0.85;

    /** The maximum number of equal shares that one controller may use. */
    private static final double MAX_SHARES = 2.5;

    /** How fast the number of shares grows while no write is refused. */
    private static final double SHARE_GROWTH_PER_S = 0.2;
    /** The fraction of the rate that submissions may use; the rest is for jobs that have been accepted. */
    private static final double SUBMISSION_FRACTION = 0.4;
    /**
     * Refusals empty the bucket at most once in this time. If each refusal emptied it, only the writes that are exempt
     * from the rate limit, such as users', could be sent.
     */
    private static final long REFUSAL_WINDOW_MS = 500;

    private final ControllerContext context;
    private final StoreLimits limits;
    private final ReducedRateDetector rateDetector;
    private double tokens;
    private double submissionTokens;
    private long refilledAtMs = Long.MIN_VALUE;
    private int controllers = 1;
    private double shares = 1;
    private long emptiedAtMs = ControllerContext.NEVER_MS;

    WriteRateLimiter(ControllerContext context) {
        this.context = context;
        this.limits = context.settings().store();
        this.rateDetector = new ReducedRateDetector(context);
        this.submissionTokens = submissionCapacity();
    }

    /** Sets the number of live controllers, which share the rate. */
    void setControllerCount(int liveControllers) {
        controllers = Math.max(1, liveControllers);
    }

    /**
     * Returns the number of writes that may be made now. It is negative after writes that are exempt from the rate
     * limit have exceeded the rate.
     */
    double tokens() {
        refill();
        return tokens;
    }

    /** Returns the maximum number of tokens that the bucket holds. */
    double capacity() {
        return Math.max(limits.maxTransactionWrites(), tokensPerS());
    }

    /**
     * Takes tokens, which may make the number of tokens negative, but not below minus one burst. No other transaction
     * is sent until the number is positive again, so without this bound, the writes of a long outage would delay
     * launches long after it.
     */
    void spend(int writes) {
        tokens = Math.max(Math.min(tokens, -capacity()), tokens - writes);
    }

    /** Returns true if a submission is within the fraction of the rate for submissions, and then counts it. */
    boolean tryAdmitSubmission() {
        refill();
        if (submissionTokens < 1) {
            return false;
        }
        submissionTokens--;
        return true;
    }

    /** Called when the store has refused a write, because of its rate limit or because it is unavailable. */
    void onRefused(boolean becauseOfRate) {
        boolean wasAtEqualShare = shares <= 1;
        shares = Math.max(1, shares / 2);
        if (context.nowMs() - emptiedAtMs >= REFUSAL_WINDOW_MS) {
            emptiedAtMs = context.nowMs();
            tokens = Math.min(tokens, 0);
        }
        if (becauseOfRate && wasAtEqualShare) {
            rateDetector.onRefusedAtEqualShare();
        }
    }

    private double tokensPerS() {
        return rateDetector.writesPerS() * PLANNED_FRACTION / controllers * Math.min(shares, controllers);
    }

    private double submissionCapacity() {
        return limits.reducedWritesPerS();
    }

    private void refill() {
        if (refilledAtMs == Long.MIN_VALUE) {
            tokens = capacity();
        } else {
            double elapsedS = (context.nowMs() - refilledAtMs) / 1000.0;
            tokens = Math.min(capacity(), tokens + tokensPerS() * elapsedS);
            submissionTokens =
                    Math.min(submissionCapacity(), submissionTokens + tokensPerS() * SUBMISSION_FRACTION * elapsedS);
            shares = Math.min(MAX_SHARES, shares + SHARE_GROWTH_PER_S * elapsedS);
        }
        refilledAtMs = context.nowMs();
    }
}
