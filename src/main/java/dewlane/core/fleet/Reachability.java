package dewlane.core.fleet;

/**
 * Whether a machine hears this controller, which being heard does not prove. It is confirmed by an answer to a command,
 * or by reports that come in time and show what the answer to the last one gave; else it is suspected not to hear, and
 * counts as silent.
 *
 * <p>Invariant: a suspicion ends only by an answer to a command, or by a report with a token that was handed out after
 * the suspicion began. A late copy has neither.
 */
public final class Reachability {
    /** No token is as high: nothing but an answer to a command ends the suspicion. */
    static final long NO_TOKEN_ENDS_IT = Long.MAX_VALUE;

    /** Since when silence counts. */
    private long countedFrom;
    /** When the machine last proved that it hears this controller; 0: never under the present owner. */
    private long confirmedAt;
    /** When a report of its own came last, not an answer to a command. */
    private long reportedAt;
    /** 0: not suspected. */
    private long suspectedSince;
    /** A report with this token or a higher one ends the suspicion. */
    private long challenge;

    private long probedAt;
    /** The worker has been told the present owner's token. */
    private boolean tokenTold = true;

    Reachability(long now) {
        countedFrom = now;
    }

    /** The machine came to this controller, which has not heard it yet. */
    void acquired(long now, long token) {
        countedFrom = now;
        confirmedAt = 0;
        suspectedSince = now;
        challenge = token;
        probedAt = 0;
        tokenTold = false;
    }

    /** The machine is another controller's. */
    void handedOn() {
        confirmedAt = 0;
    }

    /** The machine has shown that it hears this controller. */
    public void confirmed(long now) {
        confirmedAt = now;
        suspectedSince = 0;
    }

    /** It may not hear; a report with the given token shows that it does. */
    void suspected(long now, long endingToken) {
        suspectedSince = now;
        probedAt = 0;
        challenge = endingToken;
    }

    /** True while it is suspected not to hear this controller. */
    public boolean isSuspected() {
        return suspectedSince != 0;
    }

    /** True if a report with the token ends the suspicion. */
    public boolean endsSuspicion(long token) {
        return token >= challenge;
    }

    /** True if it was confirmed under the present owner. */
    public boolean everConfirmed() {
        return confirmedAt != 0;
    }

    /** True if it proved within the given time that it hears this controller. */
    public boolean confirmedWithin(long now, long ms) {
        return confirmedAt != 0 && now - confirmedAt <= ms;
    }

    /** For how long it has not shown that it hears. */
    public long silentForMs(long now) {
        return now - Math.max(confirmedAt, countedFrom);
    }

    /** What was before is nobody's silence. */
    public void countSilenceFrom(long now) {
        countedFrom = now;
    }

    /** A report of its own was answered. */
    public void reported(long now) {
        reportedAt = now;
    }

    /** When a report of its own was last answered; 0: never. */
    public long reportedAt() {
        return reportedAt;
    }

    /** True if it is suspected and was not asked for so long. */
    public boolean probeDue(long now, long pauseMs) {
        return isSuspected() && now - probedAt > pauseMs;
    }

    /** It was asked for a sign that it hears. */
    public void probed(long now) {
        probedAt = now;
    }

    /** The worker was sent the present owner's token. */
    public void tokenSent() {
        tokenTold = true;
    }

    /** True if the worker was sent the present owner's fencing token. */
    public boolean tokenTold() {
        return tokenTold;
    }
}
