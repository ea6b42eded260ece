package dewlane.core.fleet;

/** Which incarnation of a peer last listed a machine among those that it hears, and when. */
final class PeerListing {
    /** Null before the first listing. */
    private String peerIncarnationId;

    private long listedAtMs;

    /** The incarnation of a peer listed the machine; null if the peer is not in the partition map. */
    void record(String incarnationId, long nowMs) {
        peerIncarnationId = incarnationId;
        listedAtMs = nowMs;
    }

    /** True if the latest listing is by that incarnation and was made within the given time. */
    boolean isBy(String incarnationId, long nowMs, long withinMs) {
        return peerIncarnationId != null && nowMs - listedAtMs <= withinMs && peerIncarnationId.equals(incarnationId);
    }
}
