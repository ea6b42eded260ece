package dewlane.core.membership;

import dewlane.core.message.ControllerContext;
import dewlane.core.model.PeerStatus;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Map;

/** The latest status of each other controller, with the time at which it was received. */
public final class PeerTable {
    /** How long a peer's status is valid. */
    private static final long STATUS_TTL_MS = 5000;

    /** A peer's latest status and the monotonic time at which it was received. */
    private record ReceivedStatus(PeerStatus status, long atMs) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Map<String, ReceivedStatus> latestByController = new HashMap<>();

    /** Creates a table without statuses. */
    public PeerTable(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Called when a peer's status has been received. */
    public void onStatusReceived(PeerStatus status) {
        latestByController.put(status.controller(), new ReceivedStatus(status, context.nowMs()));
    }

    /**
     * Returns an id of the controller's current incarnation. It changes when the controller restarts, after which it
     * has not received its machines' heartbeats yet.
     *
     * @return null if the controller is not a member
     */
    public String incarnationId(String controller) {
        long incarnation =
                replica.partitionMap() == null ? 0 : replica.partitionMap().incarnation(controller);
        return incarnation == 0 ? null : controller + "@" + incarnation;
    }

    /** Returns true if a peer reported within the last five seconds that it reaches the store. */
    public boolean anyPeerReachesStore() {
        return latestByController.values().stream()
                .anyMatch(entry -> entry.status().storeReachable() && isWithin(entry, STATUS_TTL_MS));
    }

    /** Returns true if the controller's status was received within the last {@code ms} milliseconds. */
    public boolean receivedStatusWithin(String controller, long ms) {
        ReceivedStatus entry = latestByController.get(controller);
        return entry != null && isWithin(entry, ms);
    }

    /**
     * Returns true if the deployment has other controllers and no status of any of them was received within the last
     * {@code ms} milliseconds.
     */
    boolean receivedNoStatusWithin(long ms) {
        return !context.settings().peers().isEmpty()
                && latestByController.values().stream().noneMatch(entry -> isWithin(entry, ms));
    }

    private boolean isWithin(ReceivedStatus entry, long ms) {
        return context.nowMs() - entry.atMs() <= ms;
    }
}
