package dewlane.sim;

/** A rate limit: so many tokens a second, with a burst of one second's worth. */
final class SimTokenBucket {
    private double tokens;
    private long refilledAtMs;

    /** Takes the cost; false if that is above the rate. */
    boolean take(int cost, double ratePerS, long nowMs) {
        tokens = Math.min(ratePerS, tokens + ratePerS * (nowMs - refilledAtMs) / 1000.0);
        refilledAtMs = nowMs;
        if (tokens < cost) {
            return false;
        }
        tokens -= cost;
        return true;
    }
}
