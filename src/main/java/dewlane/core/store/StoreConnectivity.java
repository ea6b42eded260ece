package dewlane.core.store;

import dewlane.core.message.ControllerContext;

/** Tracks when the store last answered this controller, and whether it therefore counts as reachable. */
public final class StoreConnectivity {
    /** The store counts as unreachable if it has not answered for longer than this. */
    private static final long CONTACT_TIMEOUT_MS = 2000;

    private final ControllerContext context;
    private long lastContactMs;

    /** Creates a tracker whose last contact is at monotonic time 0. */
    public StoreConnectivity(ControllerContext context) {
        this.context = context;
    }

    /** Called when the store has answered a request. */
    public void onContact() {
        lastContactMs = context.nowMs();
    }

    /** Returns true if the store has answered within the last two seconds. */
    public boolean isReachable() {
        return timeSinceLastContactMs() <= CONTACT_TIMEOUT_MS;
    }

    /** Returns the milliseconds since the store last answered. */
    public long timeSinceLastContactMs() {
        return context.nowMs() - lastContactMs;
    }
}
