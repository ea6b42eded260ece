package dewlane.core.fleet;

import dewlane.core.model.Heartbeat;

/** Reports of a machine's worker that came here although another controller owns the machine. */
public final class MisroutedHeartbeats {
    private long firstAt;
    private long session;
    private long sequence;

    /** None count: the worker may just be looking for its new owner. */
    public void reset() {
        firstAt = 0;
    }

    /** For how long the worker has been coming here; negative if this is the first report that counts. */
    public long record(Heartbeat heartbeat, long now, long togetherMs) {
        if (firstAt == 0 || now - firstAt > togetherMs) {
            firstAt = now;
            session = heartbeat.incarnation();
            sequence = heartbeat.sequence();
            return -1;
        }
        return heartbeat.isNewerThan(session, sequence) ? now - firstAt : -1;
    }
}
