package dewlane.core.store;

import dewlane.core.message.ControllerContext;

/**
 * Determines when the store is listed: one listing at a time, with pauses that grow while updates of the replica fail.
 */
final class ListingSchedule {
    /** The shortest time between the starts of two listings. */
    private static final long RETRY_MS = 500;
    /** The largest power of two by which the pause after repeated failures exceeds the shortest one. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final ControllerContext context;
    private boolean inFlight;
    private long requestedAtMs;
    private long notBeforeMs = ControllerContext.NEVER_MS;
    /** The number of updates of the replica that have failed since changes were last applied. */
    private int failedUpdates;

    ListingSchedule(ControllerContext context) {
        this.context = context;
    }

    /** Returns true if a listing may be requested now. */
    boolean isDue() {
        return !inFlight && context.nowMs() - requestedAtMs > RETRY_MS && context.nowMs() >= notBeforeMs;
    }

    /** Called when a listing is requested. */
    void onRequested() {
        inFlight = true;
        requestedAtMs = context.nowMs();
    }

    /** Called when the listing in flight has been answered or has failed. */
    void onEnded() {
        inFlight = false;
    }

    /** Returns the monotonic time at which the last listing was requested. */
    long requestedAtMs() {
        return requestedAtMs;
    }

    /** Called when an update of the replica has failed; returns the pause in milliseconds before the next listing. */
    long onUpdateFailed() {
        long pauseMs = RETRY_MS << Math.min(failedUpdates, MAX_BACKOFF_DOUBLINGS);
        failedUpdates++;
        notBeforeMs = context.nowMs() + pauseMs;
        return pauseMs;
    }

    /** Called when changes were applied to the replica. */
    void onChangesApplied() {
        failedUpdates = 0;
    }
}
