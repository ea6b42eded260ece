package dewlane.core.fleet;

/**
 * Tracks whether this controller's messages reach a machine; a heartbeat that arrives proves only the other direction.
 * The machine is confirmed reachable by the answer to a command, or by heartbeats that arrive in time and each show
 * what the response to the previous one carried. Otherwise it is suspected unreachable and counts as unresponsive.
 *
 * <p>Invariant: a suspicion ends only with the answer to a command, or with a heartbeat whose fencing token was issued
 * after the suspicion began. A delayed copy of an earlier heartbeat is neither.
 */
public final class Reachability {
    /** Higher than every token: only the answer to a command ends the suspicion. */
    static final long NO_TOKEN_ENDS_SUSPICION = Long.MAX_VALUE;

    private static final long NEVER = 0;

    /** Time before this moment does not count as time without contact. */
    private long contactTimerStartMs;
    /** When the machine was last confirmed reachable, under its current owner. */
    private long confirmedAtMs = NEVER;
    /** When the last heartbeat was accepted, not counting heartbeats that answer commands. */
    private long lastHeartbeatAtMs = NEVER;
    /** {@link #NEVER} while the machine is not suspected. */
    private long suspectedSinceMs = NEVER;
    /** A heartbeat with this token or a higher one ends the suspicion. */
    private long suspicionEndingToken;

    private long lastProbeAtMs = NEVER;
    /** False from the acquisition of the machine until the current owner's token is sent to the worker. */
    private boolean tokenSent = true;

    Reachability(long nowMs) {
        contactTimerStartMs = nowMs;
    }

    /**
     * Called when this controller becomes the machine's owner: it has received no heartbeat as the owner yet, so the
     * machine is suspected until it shows the given token.
     */
    void onAcquired(long nowMs, long token) {
        contactTimerStartMs = nowMs;
        confirmedAtMs = NEVER;
        suspectedSinceMs = nowMs;
        suspicionEndingToken = token;
        lastProbeAtMs = NEVER;
        tokenSent = false;
    }

    /** Called when the machine is not in this controller's partition. */
    void onNotOwned() {
        confirmedAtMs = NEVER;
    }

    /** Called when the machine has proved that this controller's messages reach it. */
    public void onConfirmed(long nowMs) {
        confirmedAtMs = nowMs;
        suspectedSinceMs = NEVER;
    }

    /**
     * Called when the machine may be unreachable. A heartbeat with the given token or a higher one ends the suspicion.
     */
    void onSuspected(long nowMs, long endingToken) {
        suspectedSinceMs = nowMs;
        lastProbeAtMs = NEVER;
        suspicionEndingToken = endingToken;
    }

    /** Returns true while the machine is suspected unreachable. */
    public boolean isSuspected() {
        return suspectedSinceMs != NEVER;
    }

    /** Returns true if a heartbeat with the token ends the suspicion. */
    public boolean endsSuspicion(long token) {
        return token >= suspicionEndingToken;
    }

    /** Returns true if the machine was confirmed reachable under its current owner. */
    public boolean wasConfirmed() {
        return confirmedAtMs != NEVER;
    }

    /** Returns true if the machine was confirmed reachable within the given time. */
    public boolean wasConfirmedWithin(long nowMs, long withinMs) {
        return confirmedAtMs != NEVER && nowMs - confirmedAtMs <= withinMs;
    }

    /**
     * Returns the time since the machine was last confirmed reachable, or since the contact timer was restarted if that
     * was later.
     */
    public long timeSinceLastContactMs(long nowMs) {
        return nowMs - Math.max(confirmedAtMs, contactTimerStartMs);
    }

    /**
     * Restarts the time since the last contact: time before the given moment no longer counts as time without contact.
     */
    public void restartContactTimer(long nowMs) {
        contactTimerStartMs = nowMs;
    }

    /** Called when a heartbeat was accepted that does not answer a command. */
    public void onHeartbeatAccepted(long nowMs) {
        lastHeartbeatAtMs = nowMs;
    }

    /** Returns when a heartbeat was last accepted, not counting those that answer commands; 0 if never. */
    public long lastHeartbeatAtMs() {
        return lastHeartbeatAtMs;
    }

    /** Returns true if the machine is suspected and was not probed within the given interval. */
    public boolean isProbeDue(long nowMs, long intervalMs) {
        return isSuspected() && nowMs - lastProbeAtMs > intervalMs;
    }

    /** Called when the machine is probed: it is sent a command whose answer proves that it is reachable. */
    public void onProbeSent(long nowMs) {
        lastProbeAtMs = nowMs;
    }

    /** Records that a direct command carries the current owner's fencing token to the worker. */
    public void markTokenSent() {
        tokenSent = true;
    }

    /** Returns true if a direct command carried the current owner's fencing token to the worker. */
    public boolean isTokenSent() {
        return tokenSent;
    }
}
