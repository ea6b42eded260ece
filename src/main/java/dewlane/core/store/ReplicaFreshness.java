package dewlane.core.store;

import dewlane.core.config.Settings;
import dewlane.core.message.ControllerContext;

/**
 * Tracks the age of the replica, and decides what may be done with a replica of that age.
 *
 * <p>Any controller may confirm a cancellation, so a controller whose replica lacks it must not keep the job's tasks
 * running. The age counts from the time at which the latest answered watch, or the listing before it, was requested, as
 * the replica contains everything that was durable then. Answers to other requests, such as a lease renewal, do not
 * reset the age; nor does the time at which an answer arrives, as it may have been buffered while the process was
 * paused. A heartbeat is answered only while the replica is fresh enough: the lease that the answer renews must expire
 * within {@code cancel_s} of any cancellation that may be missing from the replica.
 */
public final class ReplicaFreshness {
    /** Allows for the time that a worker takes to stop its tasks after its lease has expired, and for clock drift. */
    private static final long MARGIN_MS = 1000;
    /** The largest relative difference in rate between two monotonic clocks. */
    private static final double CLOCK_DRIFT = 0.001;
    /**
     * The replica reaches this age from time to time in normal operation, so heartbeats are answered up to this age
     * whatever the settings are.
     */
    private static final long MIN_RENEWAL_AGE_MS = 3000;
    /** A launch is not sent or resent if the replica is older than this. */
    private static final long MAX_LAUNCH_AGE_MS = 2500;
    /** Users' requests wait no longer for the replica to become current; see {@link ReadBarrier}. */
    private static final long MAX_READ_AGE_MS = ReadBarrier.TIMEOUT_MS;

    private final ControllerContext context;
    private final long maxRenewalAgeMs;
    private long freshAsOfMs = ControllerContext.NEVER_MS;

    /** Derives the limits from the deployment's settings, and logs a warning if these leave too little time. */
    public ReplicaFreshness(ControllerContext context) {
        this.context = context;
        Settings settings = context.settings();
        long allowedMs = allowedRenewalAgeMs(settings);
        maxRenewalAgeMs = Math.max(MIN_RENEWAL_AGE_MS, allowedMs);
        if (allowedMs < MIN_RENEWAL_AGE_MS) {
            long worstMs = MIN_RENEWAL_AGE_MS + MARGIN_MS + (long) (1000 * settings.workerLeaseS());
            context.info("cancel_s " + settings.cancellationDeadlineS() + " is too short beside lease_s "
                    + settings.workerLeaseS() + ": while the store is unreachable, a cancelled task may run for up to "
                    + worstMs + " ms; heartbeats are answered only until the replica is " + MIN_RENEWAL_AGE_MS
                    + " ms old");
        }
    }

    private static long allowedRenewalAgeMs(Settings settings) {
        double deadlineMs = settings.cancellationDeadlineS() * 1000;
        double leaseDifferenceMs = (settings.cancellationDeadlineS() - settings.workerLeaseS()) * 1000;
        return (long) (leaseDifferenceMs - deadlineMs * CLOCK_DRIFT) - MARGIN_MS;
    }

    /** Called when the replica contains everything that was durable at the given monotonic time. */
    public void onRefreshed(long asOfMs) {
        freshAsOfMs = Math.max(freshAsOfMs, asOfMs);
    }

    /** Returns the age of the replica in milliseconds: it contains everything that was durable that long ago. */
    public long ageMs() {
        return context.nowMs() - freshAsOfMs;
    }

    /** Returns true if the replica is fresh enough to renew workers' leases. */
    public boolean allowsLeaseRenewal() {
        return ageMs() <= maxRenewalAgeMs;
    }

    /**
     * Returns true if the replica is fresh enough to answer users' requests. Requests about jobs wait until it is
     * current, and time out if it does not advance.
     */
    public boolean allowsReads() {
        return ageMs() <= MAX_READ_AGE_MS;
    }

    /** Returns true if the replica is fresh enough to send launches. */
    public boolean allowsLaunch() {
        return ageMs() <= MAX_LAUNCH_AGE_MS;
    }
}
