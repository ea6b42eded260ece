package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which jobs this controller knows to be cancelled, and since when. How old that knowledge may be is told by
 * {@link dewlane.core.store.ReplicaFreshness}.
 *
 * <p>Peers tell what they confirmed. That only adds speed: a task of a job that is durably cancelled may always be
 * stopped.
 */
public final class CancellationTracker {
    /** Cancellations that one message to a peer tells of, the latest ones. */
    private static final int MAX_ANNOUNCED = 500;

    private final ControllerContext context;
    private final long keepMs;
    /** Jobs known to be cancelled, and since when this controller knows; those over are dropped. */
    private final Map<String, Long> knownSince = new LinkedHashMap<>();
    /** Those that this controller confirmed itself. */
    private final Map<String, Long> confirmedAt = new LinkedHashMap<>();

    private boolean news;

    /** Knows of no cancellation yet. */
    public CancellationTracker(ControllerContext context) {
        this.context = context;
        this.keepMs = (long) (2000 * context.settings().cancellationDeadlineS());
    }

    /** True if the job is over or cancelled, so that nothing of it may run. */
    public boolean mustNotRun(JobEntry job) {
        return job.job() == null || job.isCancelled() || knownSince.containsKey(job.id());
    }

    /**
     * For how long the job has been cancelled at least; 0 if it is not known to be. Times of day only make it longer.
     */
    public long cancelledForMs(JobEntry job) {
        Long since = knownSince.get(job.id());
        long known = since == null ? 0 : context.nowMs() - since;
        return job.isCancelled() ? Math.max(known, context.wallClockMs() - job.cancelledAtMs()) : known;
    }

    /** Follows the cancellation marks in job records. */
    public void onReplicaChange(ReplicaChange delta) {
        if (delta instanceof ReplicaChange.JobChanged d && d.after() == null) {
            knownSince.remove(d.job().id());
        } else if (delta instanceof ReplicaChange.JobChanged d && d.after().isCancelled()) {
            knownSince.putIfAbsent(d.job().id(), context.nowMs());
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
        return told.size() > MAX_ANNOUNCED ? told.subList(told.size() - MAX_ANNOUNCED, told.size()) : told;
    }
}
