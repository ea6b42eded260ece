package dewlane.core.store;

import dewlane.core.config.Settings;
import dewlane.core.message.ControllerContext;

/**
 * How old the replica's view of the store may be, and what may be done on a view of that age.
 *
 * <p>A cancellation is confirmed by any controller, so one that misses it must not keep its tasks alive. The view is as
 * of the moment at which the latest answered watch, or the listing before it, was requested: everything older is in the
 * replica. That some other request was answered, such as a lease renewal, proves nothing about it, nor does the arrival
 * of an answer that lay in a buffer while the process was paused. A heartbeat is answered only while the view is so
 * young that the lease which the answer renews still expires within {@code cancel_s} of any cancellation that may be
 * missing from the view.
 */
public final class ReplicaFreshness {
    /** For the drift of two clocks, and for the time a worker takes to end what its lease no longer covers. */
    private static final long MARGIN_MS = 1000;
    /** Bound of the difference in rate between two steady clocks. */
    private static final double CLOCK_DRIFT = 0.001;
    /** A view reaches this age now and then in ordinary service, so heartbeats are answered up to it in any case. */
    private static final long MIN_RENEWAL_AGE_MS = 3000;
    /** A launch is not sent, or sent again, on a view older than this. */
    private static final long MAX_LAUNCH_AGE_MS = 2500;

    private final ControllerContext context;
    private final long maxRenewalAgeMs;
    private long viewAtMs = ControllerContext.NEVER_MS;

    /** Derives the bounds from the deployment's settings, and logs where these leave too little time. */
    public ReplicaFreshness(ControllerContext context) {
        this.context = context;
        Settings settings = context.settings();
        long allowedMs = allowedRenewalAgeMs(settings);
        maxRenewalAgeMs = Math.max(MIN_RENEWAL_AGE_MS, allowedMs);
        if (allowedMs < MIN_RENEWAL_AGE_MS) {
            long worstMs = MIN_RENEWAL_AGE_MS + MARGIN_MS + (long) (1000 * settings.workerLeaseS());
            context.info("cancel_s " + settings.cancellationDeadlineS() + " is too short beside lease_s "
                    + settings.workerLeaseS() + ": while the store is unreachable, a cancelled task may run for up to "
                    + worstMs + " ms; heartbeats are answered for only " + MIN_RENEWAL_AGE_MS + " ms on an old view");
        }
    }

    private static long allowedRenewalAgeMs(Settings settings) {
        double deadlineMs = settings.cancellationDeadlineS() * 1000;
        double leaseDifferenceMs = (settings.cancellationDeadlineS() - settings.workerLeaseS()) * 1000;
        return (long) (leaseDifferenceMs - deadlineMs * CLOCK_DRIFT) - MARGIN_MS;
    }

    /** The replica holds everything that was durable up to the given steady time. */
    public void onRefreshed(long asOfMs) {
        viewAtMs = Math.max(viewAtMs, asOfMs);
    }

    /** How old the view may be, in milliseconds. */
    public long ageMs() {
        return context.nowMs() - viewAtMs;
    }

    /** True if a worker's lease may be renewed on the present view. */
    public boolean allowsLeaseRenewal() {
        return ageMs() <= maxRenewalAgeMs;
    }

    /** True if the view is young enough to start tasks on it. */
    public boolean allowsLaunch() {
        return ageMs() <= MAX_LAUNCH_AGE_MS;
    }
}
