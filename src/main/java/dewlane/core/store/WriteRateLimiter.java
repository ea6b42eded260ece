package dewlane.core.store;

import dewlane.core.config.StoreLimits;
import dewlane.core.message.ControllerContext;

/**
 * This controller's share of the rate of changes, as a token bucket. It is an equal share, and more as long as the
 * state service refuses nothing: other controllers may need less than theirs.
 *
 * <p>A smaller rate that is to come without notice counts once changes are refused at an equal share. Now and then the
 * larger one is tried again, so that refusals for another reason slow nothing down for good.
 */
final class WriteRateLimiter {
    /** The part of the rate that is planned with: changes of leases and of other writers need some of it. */
    private static final double PLANNED = 0.85;

    private static final double MOST_BOOST = 2.5;
    private static final double BOOST_PER_S = 0.2;
    /** The part of the rate that submissions may take: the rest is for what was accepted. */
    private static final double USER_SHARE = 0.4;
    /** Refusals within so long are one: each would empty the bucket again, and nothing but users' writes be sent. */
    private static final long REFUSAL_MS = 500;
    /** So many refusals at an equal share within so long mean that the smaller rate is in force. */
    private static final int REFUSALS_AT_SHARE = 2;

    private static final long REFUSALS_WITHIN_MS = 2000;
    /** How long the smaller rate is taken for granted; twice as long each time that this proves right. */
    private static final long REDUCED_MS = 60_000;

    private static final int MOST_DOUBLINGS = 4;

    private final ControllerContext context;
    private final StoreLimits limits;
    private double tokens;
    private double userTokens;
    private long refilledAt = Long.MIN_VALUE;
    private int share = 1;
    private double boost = 1;
    private long emptiedAt = Long.MIN_VALUE / 2;
    private int refusalsAtShare;
    private long countedSince = Long.MIN_VALUE / 2;
    private long reducedUntil = Long.MIN_VALUE / 2;
    private int reductions;

    WriteRateLimiter(ControllerContext context) {
        this.context = context;
        this.limits = context.settings().store();
        this.userTokens = userBurst();
    }

    /** Live controllers share the rate. */
    void shareAmong(int controllers) {
        share = Math.max(1, controllers);
    }

    double tokens() {
        refill();
        return tokens;
    }

    /** The most that the bucket holds. */
    double capacity() {
        return Math.max(limits.maxTransactionWrites(), rate());
    }

    /**
     * Takes tokens. What users wait for is owed, but the debt has a bound: in a long outage it grew to what took ten
     * minutes to pay, and for so long nothing was launched.
     */
    void spend(int changes) {
        tokens = Math.max(Math.min(tokens, -capacity()), tokens - changes);
    }

    /** True if a submission is within the part of the rate that is for them, and then counts it. */
    boolean tryAdmitSubmission() {
        refill();
        if (userTokens < 1) {
            return false;
        }
        userTokens--;
        return true;
    }

    /** The state service refused a change, for its rate or because it is out. */
    void onRefused(boolean overRate) {
        boolean atShare = boost <= 1;
        boost = Math.max(1, boost / 2);
        if (context.nowMs() - emptiedAt >= REFUSAL_MS) {
            emptiedAt = context.nowMs();
            tokens = Math.min(tokens, 0);
        }
        if (overRate && atShare && !reduced()) {
            countAtShare();
        }
    }

    private void countAtShare() {
        long now = context.nowMs();
        if (now - countedSince > REFUSALS_WITHIN_MS) {
            countedSince = now;
            refusalsAtShare = 0;
        }
        refusalsAtShare++;
        if (refusalsAtShare >= REFUSALS_AT_SHARE
                && limits.reducedWritesPerS() < limits.present().writesPerS()) {
            boolean again = now - reducedUntil < 2 * REFUSALS_WITHIN_MS;
            reductions = again ? Math.min(MOST_DOUBLINGS, reductions + 1) : 0;
            reducedUntil = now + (REDUCED_MS << reductions);
            context.info("changes are refused at " + limits.present().writesPerS() + " a second, keeping to "
                    + limits.reducedWritesPerS());
        }
    }

    private boolean reduced() {
        return context.nowMs() < reducedUntil;
    }

    private double allowed() {
        return reduced() ? limits.reducedWritesPerS() : limits.present().writesPerS();
    }

    private double rate() {
        return allowed() * PLANNED / share * Math.min(boost, share);
    }

    private double userBurst() {
        return limits.reducedWritesPerS();
    }

    private void refill() {
        if (refilledAt == Long.MIN_VALUE) {
            tokens = capacity();
        } else {
            double passedS = (context.nowMs() - refilledAt) / 1000.0;
            tokens = Math.min(capacity(), tokens + rate() * passedS);
            userTokens = Math.min(userBurst(), userTokens + rate() * USER_SHARE * passedS);
            boost = Math.min(MOST_BOOST, boost + BOOST_PER_S * passedS);
        }
        refilledAt = context.nowMs();
    }
}
