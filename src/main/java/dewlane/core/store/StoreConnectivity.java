package dewlane.core.store;

import dewlane.core.message.ControllerContext;

/** When the store last answered this controller, and whether it therefore counts as reachable. */
public final class StoreConnectivity {
    /** Without an answer for so long the store counts as unreachable. */
    private static final long REACHABLE_MS = 2000;

    private final ControllerContext context;
    private long contactAtMs;

    /** Begins without a contact. */
    public StoreConnectivity(ControllerContext context) {
        this.context = context;
    }

    /** The store answered a request. */
    public void onContact() {
        contactAtMs = context.nowMs();
    }

    /** True if the store has answered lately. */
    public boolean isReachable() {
        return timeSinceLastContactMs() <= REACHABLE_MS;
    }

    /** Milliseconds since the store last answered. */
    public long timeSinceLastContactMs() {
        return context.nowMs() - contactAtMs;
    }
}
