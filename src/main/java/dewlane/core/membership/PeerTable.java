package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.model.PeerStatus;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Map;

/** What the other controllers last said of themselves, and when. */
public final class PeerTable {
    /** What a peer said is good for so long. */
    private static final long FRESH_MS = 5000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Map<String, PeerStatus> statuses = new HashMap<>();
    private final Map<String, Long> heardAt = new HashMap<>();

    public PeerTable(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** A peer told its status. */
    public void update(PeerStatus status) {
        statuses.put(status.controller(), status);
        heardAt.put(status.controller(), context.nowMs());
    }

    /** Names this start of a controller: one that restarted has not heard its machines yet. */
    public String incarnationId(String node) {
        long incarnation =
                replica.partitionMap() == null ? 0 : replica.partitionMap().incarnation(node);
        return incarnation == 0 ? null : node + "@" + incarnation;
    }

    /** True if a peer said within the last few seconds that it reaches the state service. */
    public boolean anyReachesStore() {
        return statuses.values().stream()
                .anyMatch(status -> status.storeReachable() && heardWithin(status.controller(), FRESH_MS));
    }

    /** True if the controller said something within the given time. */
    public boolean heardWithin(String node, long ms) {
        Long at = heardAt.get(node);
        return at != null && context.nowMs() - at <= ms;
    }

    /** True if there are other controllers and none of them was heard within the given time. */
    boolean noneHeardWithin(long ms) {
        return !context.settings().peers().isEmpty()
                && heardAt.values().stream().allMatch(at -> context.nowMs() - at > ms);
    }
}
