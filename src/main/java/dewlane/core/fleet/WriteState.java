package dewlane.core.fleet;

/** Whether a write about a job may be decided, or the result of the last one has to be seen first. */
final class WriteState {
    private boolean inFlight;
    /** The revision at which the last write was answered: until the replica reaches it, it may not show the write. */
    private long answeredAtRevision;

    private long pausedUntilMs;

    /** A write is sent. */
    void begin() {
        inFlight = true;
    }

    /** The write was answered at the revision. */
    void complete(long revision) {
        inFlight = false;
        answeredAtRevision = revision;
    }

    /** Nothing is written before the given steady time. */
    void pauseUntil(long atMs) {
        pausedUntilMs = atMs;
    }

    /** True while a write is in flight, or a replica at the given revision may not show the last one. */
    boolean isUnresolved(long replicaRevision) {
        return inFlight || replicaRevision < answeredAtRevision;
    }

    /** True while nothing may be written. */
    boolean isBusy(long replicaRevision, long nowMs) {
        return isUnresolved(replicaRevision) || nowMs < pausedUntilMs;
    }
}
