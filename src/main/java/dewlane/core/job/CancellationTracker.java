package dewlane.core.job;

import dewlane.core.config.Settings;
import dewlane.core.message.ControllerContext;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What this controller knows of cancellations, and how stale that knowledge may be.
 *
 * <p>A cancellation is confirmed by any controller, so one that misses it must not keep its tasks alive. The view is as
 * of the moment at which the latest answered watch, or the listing before it, was asked for: everything older is in the
 * replica. That some other request was answered, such as a lease's renewal, proves nothing about it, nor does the
 * arrival of an answer that lay in a buffer while the process stood still. A report is answered only while the view is
 * so young that the lease which the answer renews still ends within {@code cancel_s} of any cancellation that may be
 * missing from it.
 *
 * <p>Peers tell what they confirmed. That only adds speed: a task of a job that is durably cancelled may always be
 * stopped.
 */
public final class CancellationTracker {
    /** For the drift of two clocks, and for the time a worker takes to end what its lease no longer covers. */
    private static final long MARGIN_MS = 1000;

    private static final double DRIFT = 0.001;
    /** A view is at least so old now and then in ordinary service, so reports are answered all the same. */
    private static final long LEAST_RENEW_MS = 3000;
    /** A launch is not sent, or sent again, on a view older than this. */
    private static final long LAUNCH_MS = 2500;
    /** Cancellations that one message to a peer tells of, the latest ones. */
    private static final int MOST_TOLD = 500;

    private final ControllerContext context;
    private final long renewMs;
    private final long keepMs;
    /** Jobs known to be cancelled, and since when this controller knows; those over are dropped. */
    private final Map<String, Long> knownSince = new LinkedHashMap<>();
    /** Those that this controller confirmed itself. */
    private final Map<String, Long> confirmedAt = new LinkedHashMap<>();

    private long viewAt = Long.MIN_VALUE / 2;
    private boolean news;

    public CancellationTracker(ControllerContext context) {
        this.context = context;
        Settings s = context.settings();
        long most = (long) ((s.cancellationDeadlineS() - s.workerLeaseS()) * 1000
                        - s.cancellationDeadlineS() * 1000 * DRIFT)
                - MARGIN_MS;
        renewMs = Math.max(LEAST_RENEW_MS, most);
        keepMs = (long) (2000 * s.cancellationDeadlineS());
        if (most < LEAST_RENEW_MS) {
            context.info("cancel_s " + s.cancellationDeadlineS() + " is too short beside lease_s " + s.workerLeaseS()
                    + ": while the state service is out of reach, a cancelled task may run for up to "
                    + (LEAST_RENEW_MS + MARGIN_MS + (long) (1000 * s.workerLeaseS()))
                    + " ms; reports are answered for only "
                    + LEAST_RENEW_MS + " ms on an old view");
        }
    }

    /** The replica holds all that was cancelled up to the given moment. */
    public void viewRefreshed(long asOf) {
        viewAt = Math.max(viewAt, asOf);
    }

    /** How old this controller's knowledge of cancellations may be. */
    long viewAgeMs() {
        return context.nowMs() - viewAt;
    }

    /** True if a worker's lease may be renewed on the present view. */
    public boolean allowsLeaseRenewal() {
        return viewAgeMs() <= renewMs;
    }

    /** True if the view is young enough to start tasks on it. */
    public boolean allowsLaunch() {
        return viewAgeMs() <= LAUNCH_MS;
    }

    /** True if the job is over or cancelled, so that nothing of it may run. */
    public boolean mustNotRun(JobEntry job) {
        return job.job() == null || job.isCancelled() || knownSince.containsKey(job.id);
    }

    /**
     * For how long the job has been cancelled at least; 0 if it is not known to be. Times of day only make it longer.
     */
    public long cancelledForMs(JobEntry job) {
        Long since = knownSince.get(job.id);
        long known = since == null ? 0 : context.nowMs() - since;
        return job.isCancelled() ? Math.max(known, context.wallClockMs() - job.cancelledAtMs()) : known;
    }

    public void onReplicaChange(ReplicaChange delta) {
        if (delta instanceof ReplicaChange.JobChanged d && d.after() == null) {
            knownSince.remove(d.job().id);
        } else if (delta instanceof ReplicaChange.JobChanged d && d.after().isCancelled()) {
            knownSince.putIfAbsent(d.job().id, context.nowMs());
        }
    }

    /** This controller's write that cancels the job is durable. */
    public void onConfirmed(String job) {
        knownSince.putIfAbsent(job, context.nowMs());
        confirmedAt.put(job, context.nowMs());
        news = true;
    }

    /** A peer confirmed it; returns true if that is news. */
    public boolean onPeerConfirmed(String job) {
        return knownSince.putIfAbsent(job, context.nowMs()) == null;
    }

    /** True once after each confirmation. */
    public boolean takeUnannounced() {
        boolean taken = news;
        news = false;
        return taken;
    }

    /** What peers are told: all that was confirmed here and may still matter. */
    public List<String> recentlyConfirmed() {
        confirmedAt.values().removeIf(at -> context.nowMs() - at > keepMs);
        knownSince.values().removeIf(at -> context.nowMs() - at > 4 * keepMs);
        List<String> told = new ArrayList<>(confirmedAt.keySet());
        return told.size() > MOST_TOLD ? told.subList(told.size() - MOST_TOLD, told.size()) : told;
    }
}
