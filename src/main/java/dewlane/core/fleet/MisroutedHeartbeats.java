package dewlane.core.fleet;

import dewlane.core.model.Heartbeat;

/** Heartbeats of a machine's worker that came here although another controller owns the machine. */
public final class MisroutedHeartbeats {
    /** The first heartbeat counts for nothing by itself, nor does a copy of it. */
    private static final long NOT_RETURNED = -1;

    private static final long NONE = 0;

    /** When the first one that counts came. */
    private long firstAtMs = NONE;

    private long firstIncarnation;
    private long firstSequence;

    /** None so far count: the worker may just be looking for its new owner. */
    public void reset() {
        firstAtMs = NONE;
    }

    /**
     * Counts a heartbeat. It begins a new series if the first one came longer than the window ago.
     *
     * @return for how many milliseconds the worker has been coming here; negative unless the heartbeat is newer than
     *     the first one that counts
     */
    public long record(Heartbeat heartbeat, long nowMs, long windowMs) {
        if (firstAtMs == NONE || nowMs - firstAtMs > windowMs) {
            firstAtMs = nowMs;
            firstIncarnation = heartbeat.incarnation();
            firstSequence = heartbeat.sequence();
            return NOT_RETURNED;
        }
        return heartbeat.isNewerThan(firstIncarnation, firstSequence) ? nowMs - firstAtMs : NOT_RETURNED;
    }
}
