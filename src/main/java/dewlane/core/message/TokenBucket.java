package dewlane.core.message;

/** A token bucket: limits the rate of an operation and allows bursts of unused tokens. */
public final class TokenBucket {
    private static final double MS_PER_S = 1000.0;

    private final double tokensPerS;
    private final double burst;
    private double tokens;
    private long refilledAtMs = Long.MIN_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerS number of tokens added per second
     * @param burst maximum number of tokens in the bucket
     */
    public TokenBucket(double tokensPerS, double burst) {
        this.tokensPerS = tokensPerS;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * Takes one token if one is available.
     *
     * @param nowMs monotonic time in milliseconds
     * @return false if no token was available
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
