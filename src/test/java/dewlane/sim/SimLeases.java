package dewlane.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of the store, each with the time at which it expires unless it is renewed. */
final class SimLeases {
    private final SimCluster cluster;
    private final Map<Long, Long> expiresAt = new HashMap<>();
    private long nextLease = 1;

    SimLeases(SimCluster cluster) {
        this.cluster = cluster;
    }

    long grant(long ttlMs) {
        long lease = nextLease++;
        expiresAt.put(lease, cluster.now() + ttlMs);
        return lease;
    }

    /** Renews the lease; false if it has expired. */
    boolean renew(long lease, long ttlMs) {
        return expiresAt.computeIfPresent(lease, (id, end) -> cluster.now() + ttlMs) != null;
    }

    boolean isValid(long lease) {
        return expiresAt.containsKey(lease);
    }

    void extendAll(long ms) {
        expiresAt.replaceAll((lease, end) -> end + ms);
    }

    /** Removes and returns the expired leases. */
    List<Long> removeExpired() {
        List<Long> expired = expiresAt.entrySet().stream()
                .filter(entry -> entry.getValue() < cluster.now())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(expiresAt::remove);
        return expired;
    }
}
