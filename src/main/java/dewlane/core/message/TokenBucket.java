package dewlane.core.message;

/** A token bucket: limits the rate of something, and lets what was not used be used later in a burst. */
public final class TokenBucket {
    private static final double MS_PER_S = 1000.0;

    private final double tokensPerS;
    private final double burst;
    private double tokens;
    private long refilledAtMs = Long.MIN_VALUE;

    /**
     * A full bucket.
     *
     * @param tokensPerS tokens that are added in a second
     * @param burst the most tokens that the bucket holds
     */
    public TokenBucket(double tokensPerS, double burst) {
        this.tokensPerS = tokensPerS;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * Takes one token.
     *
     * @param nowMs steady time in milliseconds
     * @return false if there is none
     */
    public boolean tryAcquire(long nowMs) {
        if (refilledAtMs != Long.MIN_VALUE) {
            tokens = Math.min(burst, tokens + tokensPerS * (nowMs - refilledAtMs) / MS_PER_S);
        }
        refilledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
