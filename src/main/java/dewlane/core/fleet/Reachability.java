package dewlane.core.fleet;

/**
 * Whether a machine hears this controller, which being heard does not prove. It is confirmed by an answer to a command,
 * or by heartbeats that come in time and show what the response to the last one carried. Otherwise the machine is
 * suspected not to hear, and counts as silent.
 *
 * <p>Invariant: a suspicion ends only by an answer to a command, or by a heartbeat with a fencing token that was issued
 * after the suspicion began. A late copy has neither.
 */
public final class Reachability {
    /** No token is as high: nothing but an answer to a command ends the suspicion. */
    static final long NO_TOKEN_ENDS_IT = Long.MAX_VALUE;

    private static final long NEVER = 0;

    /** Since when silence counts. */
    private long silenceBaselineMs;
    /** When the machine last proved under the present owner that it hears this controller. */
    private long confirmedAtMs = NEVER;
    /** When a heartbeat of its own came last, not an answer to a command. */
    private long heartbeatAtMs = NEVER;
    /** {@link #NEVER} while it is not suspected. */
    private long suspectedSinceMs = NEVER;
    /** A heartbeat with this token or a higher one ends the suspicion. */
    private long suspicionEndingToken;

    private long probedAtMs = NEVER;
    /** True once the worker was sent the present owner's token. */
    private boolean tokenSent = true;

    Reachability(long nowMs) {
        silenceBaselineMs = nowMs;
    }

    /** This controller becomes the machine's owner and has not heard it as such. */
    void acquired(long nowMs, long token) {
        silenceBaselineMs = nowMs;
        confirmedAtMs = NEVER;
        suspectedSinceMs = nowMs;
        suspicionEndingToken = token;
        probedAtMs = NEVER;
        tokenSent = false;
    }

    /** Another controller owns the machine. */
    void handedOver() {
        confirmedAtMs = NEVER;
    }

    /** The machine has proved that it hears this controller. */
    public void onConfirmed(long nowMs) {
        confirmedAtMs = nowMs;
        suspectedSinceMs = NEVER;
    }

    /** It may not hear this controller; a heartbeat with the given token proves that it does. */
    void suspected(long nowMs, long endingToken) {
        suspectedSinceMs = nowMs;
        probedAtMs = NEVER;
        suspicionEndingToken = endingToken;
    }

    /** True while it is suspected not to hear this controller. */
    public boolean isSuspected() {
        return suspectedSinceMs != NEVER;
    }

    /** True if a heartbeat with the token ends the suspicion. */
    public boolean endsSuspicion(long token) {
        return token >= suspicionEndingToken;
    }

    /** True if it was confirmed under the present owner. */
    public boolean wasConfirmed() {
        return confirmedAtMs != NEVER;
    }

    /** True if it proved within the given time that it hears this controller. */
    public boolean wasConfirmedWithin(long nowMs, long withinMs) {
        return confirmedAtMs != NEVER && nowMs - confirmedAtMs <= withinMs;
    }

    /** For how long it has not proved that it hears this controller. */
    public long timeSinceLastContactMs(long nowMs) {
        return nowMs - Math.max(confirmedAtMs, silenceBaselineMs);
    }

    /** Silence before this moment does not count. */
    public void restartContactTimer(long nowMs) {
        silenceBaselineMs = nowMs;
    }

    /** A heartbeat of its own was accepted. */
    public void onHeartbeatAccepted(long nowMs) {
        heartbeatAtMs = nowMs;
    }

    /** When a heartbeat of its own was last accepted; 0: never. */
    public long lastHeartbeatAtMs() {
        return heartbeatAtMs;
    }

    /** True if it is suspected and was not probed for so long. */
    public boolean isProbeDue(long nowMs, long intervalMs) {
        return isSuspected() && nowMs - probedAtMs > intervalMs;
    }

    /** It is asked for a proof that it hears this controller. */
    public void onProbeSent(long nowMs) {
        probedAtMs = nowMs;
    }

    /** The worker is sent the present owner's fencing token by a direct command. */
    public void markTokenSent() {
        tokenSent = true;
    }

    /** True if the worker was sent the present owner's fencing token by a direct command. */
    public boolean isTokenSent() {
        return tokenSent;
    }
}
