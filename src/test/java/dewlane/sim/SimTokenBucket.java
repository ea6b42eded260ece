package dewlane.sim;

/** A token bucket that allows bursts of up to one second's tokens. */
final class SimTokenBucket {
    private double tokens;
    private long refilledAtMs;

    /** Takes the given number of tokens; false, without taking any, if there are fewer. */
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
