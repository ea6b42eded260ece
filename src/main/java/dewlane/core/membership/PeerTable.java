package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.model.PeerStatus;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Map;

/** What the other controllers last said of themselves, and when. */
public final class PeerTable {
    /** How long a peer's status is relied on. */
    private static final long STATUS_TTL_MS = 5000;

    /** A peer's latest status and the steady time of its arrival. */
    private record Received(PeerStatus status, long atMs) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Map<String, Received> latest = new HashMap<>();

    /** A table without any peer's status. */
    public PeerTable(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** A peer has sent its status. */
    public void onStatusReceived(PeerStatus status) {
        latest.put(status.controller(), new Received(status, context.nowMs()));
    }

    /**
     * Names one start of a controller: one that has restarted has not received its machines' heartbeats yet.
     *
     * @return null if the controller is not a member
     */
    public String incarnationId(String controller) {
        long incarnation =
                replica.partitionMap() == null ? 0 : replica.partitionMap().incarnation(controller);
        return incarnation == 0 ? null : controller + "@" + incarnation;
    }

    /** True if a peer said within the last few seconds that it reaches the store. */
    public boolean anyPeerReachesStore() {
        return latest.values().stream()
                .anyMatch(received -> received.status().storeReachable() && isWithin(received, STATUS_TTL_MS));
    }

    /** True if the controller's status came within the given time, in milliseconds. */
    public boolean receivedStatusWithin(String controller, long ms) {
        Received received = latest.get(controller);
        return received != null && isWithin(received, ms);
    }

    /** True if there are other controllers and the status of none of them came within the given time. */
    boolean receivedNoStatusWithin(long ms) {
        return !context.settings().peers().isEmpty()
                && latest.values().stream().noneMatch(received -> isWithin(received, ms));
    }

    private boolean isWithin(Received received, long ms) {
        return context.nowMs() - received.atMs() <= ms;
    }
}
