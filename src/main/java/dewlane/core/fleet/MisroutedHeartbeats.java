package dewlane.core.fleet;

import dewlane.core.model.Heartbeat;

/** Records heartbeats of a machine's worker that arrived here although another controller owns the machine. */
public final class MisroutedHeartbeats {
    /**
     * Returned for the first heartbeat of a series and for copies of it, which do not show that the worker came back.
     */
    private static final long NOT_RETURNED = -1;

    private static final long NONE = 0;

    /** When the first heartbeat of the series arrived. */
    private long firstAtMs = NONE;

    private long firstIncarnation;
    private long firstSequence;

    /** Drops the series: the worker may only have been looking for the machine's new owner. */
    public void reset() {
        firstAtMs = NONE;
    }

    /**
     * Records a heartbeat. It begins a new series if the first one of the series arrived longer ago than the window.
     *
     * @return the milliseconds since the first heartbeat of the series; negative if the given heartbeat is not newer
     *     than the first
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
