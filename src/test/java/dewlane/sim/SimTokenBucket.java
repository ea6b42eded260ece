package dewlane.sim;

/** A rate as the stand-ins keep it: so much a second, with a burst of one second's worth. */
final class SimTokenBucket {
    private double tokens;
    private long refilledAt;

    /** Takes the cost; false if that is above the rate. */
    boolean take(int cost, double perS, long now) {
        tokens = Math.min(perS, tokens + perS * (now - refilledAt) / 1000.0);
        refilledAt = now;
        if (tokens < cost) {
            return false;
        }
        tokens -= cost;
        return true;
    }
}
