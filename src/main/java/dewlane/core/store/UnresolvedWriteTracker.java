package dewlane.core.store;

/**
 * Tracks whether the last write of an object is unresolved: it is in flight, or the replica has not reached the
 * revision of its answer.
 */
public final class UnresolvedWriteTracker {
    private boolean inFlight;
    /** The revision of the last write's answer. Until the replica reaches it, the write may be missing from it. */
    private long answeredAtRevision;

    /** Called when a write is submitted. */
    public void onSubmitted() {
        inFlight = true;
    }

    /** Called when the write has been answered at the given revision. */
    public void onAnswered(long revision) {
        inFlight = false;
        answeredAtRevision = revision;
    }

    /** Returns true if a write is in flight, or if the last one may be missing from a replica at the given revision. */
    public boolean isUnresolved(long replicaRevision) {
        return inFlight || replicaRevision < answeredAtRevision;
    }
}
