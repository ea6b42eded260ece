package dewlane.core.message;

/** A token bucket: so many a second, and a burst of what was not used. */
public final class TokenBucket {
    private final double perS;
    private final double burst;
    private double tokens;
    private long refilledAt = Long.MIN_VALUE;

    public TokenBucket(double perS, double burst) {
        this.perS = perS;
        this.burst = burst;
        this.tokens = burst;
    }

    /** Takes one token; false if there is none. */
    public boolean tryAcquire(long now) {
        if (refilledAt != Long.MIN_VALUE) {
            tokens = Math.min(burst, tokens + perS * (now - refilledAt) / 1000.0);
        }
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
