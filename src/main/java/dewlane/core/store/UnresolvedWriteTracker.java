package dewlane.core.store;

/** Whether the last write about something is in flight, or answered at a revision that the replica has yet to reach. */
public final class UnresolvedWriteTracker {
    private boolean inFlight;
    /** The revision at which the last write was answered: until the replica reaches it, it may not show the write. */
    private long answeredAtRevision;

    /** A write is sent. */
    public void begin() {
        inFlight = true;
    }

    /** The write was answered at the revision. */
    public void complete(long revision) {
        inFlight = false;
        answeredAtRevision = revision;
    }

    /** True while a write is in flight, or a replica at the given revision may not show the last one. */
    public boolean isUnresolved(long replicaRevision) {
        return inFlight || replicaRevision < answeredAtRevision;
    }
}
