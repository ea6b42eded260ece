package dewlane.core.store;

import dewlane.core.config.StoreLimits;
import dewlane.core.message.ControllerContext;

/**
 * This controller's share of the store's write rate, as a token bucket. It is an equal share at first and grows while
 * the store refuses nothing, as other controllers may need less than theirs. The rate itself is the one that a
 * {@link ReducedRateDetector} takes to be in force.
 */
final class WriteRateLimiter {
    /** The fraction of the rate that is planned with: lease renewals and other clients need some of it. */
    private static final double PLANNED_FRACTION = 0.85;

    /** How many equal shares one controller may take, and how fast it comes to take them. */
    private static final double MAX_SHARES = 2.5;

    private static final double SHARES_PER_S = 0.2;
    /** The fraction of the rate that submissions may take: the rest is for jobs that were accepted. */
    private static final double SUBMISSION_FRACTION = 0.4;
    /** Refusals within so long are one: each would empty the bucket again, and nothing but users' writes be sent. */
    private static final long REFUSAL_MS = 500;

    private final ControllerContext context;
    private final StoreLimits limits;
    private final ReducedRateDetector rate;
    private double tokens;
    private double submissionTokens;
    private long refilledAtMs = Long.MIN_VALUE;
    private int controllers = 1;
    private double shares = 1;
    private long emptiedAtMs = ControllerContext.NEVER_MS;

    WriteRateLimiter(ControllerContext context) {
        this.context = context;
        this.limits = context.settings().store();
        this.rate = new ReducedRateDetector(context);
        this.submissionTokens = submissionCapacity();
    }

    /** Says how many live controllers share the rate. */
    void shareAmong(int liveControllers) {
        controllers = Math.max(1, liveControllers);
    }

    /** Writes that may be made now; negative while what users waited for was written ahead of the rate. */
    double tokens() {
        refill();
        return tokens;
    }

    /** The most tokens that the bucket holds. */
    double capacity() {
        return Math.max(limits.maxTransactionWrites(), tokensPerS());
    }

    /**
     * Takes tokens, below zero if need be. The debt is bounded by one burst, since nothing else is written until it is
     * paid: one that a long outage had run up would keep launches back long after it.
     */
    void spend(int writes) {
        tokens = Math.max(Math.min(tokens, -capacity()), tokens - writes);
    }

    /** True if a submission is within the fraction of the rate that is for them, and then counts it. */
    boolean tryAdmitSubmission() {
        refill();
        if (submissionTokens < 1) {
            return false;
        }
        submissionTokens--;
        return true;
    }

    /** The store refused a write: because of the rate, or because it is unavailable. */
    void onRefused(boolean becauseOfRate) {
        boolean wasAtEqualShare = shares <= 1;
        shares = Math.max(1, shares / 2);
        if (context.nowMs() - emptiedAtMs >= REFUSAL_MS) {
            emptiedAtMs = context.nowMs();
            tokens = Math.min(tokens, 0);
        }
        if (becauseOfRate && wasAtEqualShare) {
            rate.onRefusedAtEqualShare();
        }
    }

    private double tokensPerS() {
        return rate.writesPerS() * PLANNED_FRACTION / controllers * Math.min(shares, controllers);
    }

    private double submissionCapacity() {
        return limits.reducedWritesPerS();
    }

    private void refill() {
        if (refilledAtMs == Long.MIN_VALUE) {
            tokens = capacity();
        } else {
            double passedS = (context.nowMs() - refilledAtMs) / 1000.0;
            tokens = Math.min(capacity(), tokens + tokensPerS() * passedS);
            submissionTokens =
                    Math.min(submissionCapacity(), submissionTokens + tokensPerS() * SUBMISSION_FRACTION * passedS);
            shares = Math.min(MAX_SHARES, shares + SHARES_PER_S * passedS);
        }
        refilledAtMs = context.nowMs();
    }
}
