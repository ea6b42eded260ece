package dewlane.core.fleet;

/** Records which incarnation of a peer last listed a machine as one from which it receives heartbeats, and when. */
final class PeerListing {
    /** Null before the first listing, or if the peer was not in the partition map. */
    private String peerIncarnationId;

    private long listedAtMs;

    /** Records that a peer listed the machine. The incarnation is null if the peer is not in the partition map. */
    void record(String incarnationId, long nowMs) {
        peerIncarnationId = incarnationId;
        listedAtMs = nowMs;
    }

    /** Returns true if the latest listing is by the given incarnation and was received within the given time. */
    boolean isBy(String incarnationId, long nowMs, long withinMs) {
        return peerIncarnationId != null && nowMs - listedAtMs <= withinMs && peerIncarnationId.equals(incarnationId);
    }
}
