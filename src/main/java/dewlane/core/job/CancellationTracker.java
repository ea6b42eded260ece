package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which jobs this controller knows to be cancelled, and since when. How old that knowledge may be is bounded by
 * {@link dewlane.core.store.ReplicaFreshness}.
 *
 * <p>Controllers announce to each other the cancellations that they confirmed. That only adds speed and needs no proof:
 * a task of a job that is durably cancelled may always be stopped.
 */
public final class CancellationTracker {
    /** Bounds the size of a message to peers; the latest cancellations are announced. */
    private static final int MAX_ANNOUNCED_JOBS = 500;
    /** An announcement is repeated for so many times the cancellation deadline. */
    private static final int ANNOUNCEMENT_DEADLINES = 2;
    /** A cancellation without any later change of the job is remembered for so many times the announcement. */
    private static final int KNOWN_ANNOUNCEMENTS = 4;

    private final ControllerContext context;
    private final long announcementMs;
    /** Jobs known to be cancelled, and the steady time since which they are; a job leaves with its record. */
    private final Map<String, Long> knownSinceMs = new LinkedHashMap<>();
    /** The cancellations that this controller itself confirmed to users, and the steady time at which it did. */
    private final Map<String, Long> confirmedAtMs = new LinkedHashMap<>();

    private boolean announcementDue;

    /** Starts with no known cancellation. */
    public CancellationTracker(ControllerContext context) {
        this.context = context;
        this.announcementMs =
                (long) (1000 * ANNOUNCEMENT_DEADLINES * context.settings().cancellationDeadlineS());
    }

    /** True if the job has ended or is cancelled, so that no task of it may run. */
    public boolean mustNotRun(JobEntry job) {
        return job.job() == null || job.isCancelled() || knownSinceMs.containsKey(job.id());
    }

    /**
     * Milliseconds for which the job has been cancelled at least; 0 if it is not known to be cancelled. Differences
     * between the clocks of controllers can only make it longer.
     */
    public long cancelledForMs(JobEntry job) {
        Long sinceMs = knownSinceMs.get(job.id());
        long knownForMs = sinceMs == null ? 0 : context.nowMs() - sinceMs;
        return job.isCancelled() ? Math.max(knownForMs, context.wallClockMs() - job.cancelledAtMs()) : knownForMs;
    }

    /** Follows the cancellation marks in job records. */
    public void onReplicaChange(ReplicaChange change) {
        if (!(change instanceof ReplicaChange.JobChanged jobChange)) {
            return;
        }
        if (jobChange.after() == null) {
            knownSinceMs.remove(jobChange.job().id());
        } else if (jobChange.after().isCancelled()) {
            knownSinceMs.putIfAbsent(jobChange.job().id(), context.nowMs());
        }
    }

    /** This controller's own write that cancels the job is durable. */
    public void onCancellationCommitted(String job) {
        knownSinceMs.putIfAbsent(job, context.nowMs());
        confirmedAtMs.put(job, context.nowMs());
        announcementDue = true;
    }

    /** A peer announced that it confirmed the cancellation; returns true if it was not known yet. */
    public boolean onPeerCancellation(String job) {
        return knownSinceMs.putIfAbsent(job, context.nowMs()) == null;
    }

    /** Returns whether a cancellation was confirmed since the last call, which peers should learn of at once. */
    public boolean takeAnnouncementDue() {
        boolean due = announcementDue;
        announcementDue = false;
        return due;
    }

    /** Forgets cancellations that are too old to matter to anyone. */
    public void removeExpired() {
        confirmedAtMs.values().removeIf(at -> context.nowMs() - at > announcementMs);
        knownSinceMs.values().removeIf(at -> context.nowMs() - at > KNOWN_ANNOUNCEMENTS * announcementMs);
    }

    /** The jobs whose cancellation is announced to peers: the latest of those that this controller confirmed. */
    public List<String> jobsToAnnounce() {
        List<String> confirmed = new ArrayList<>(confirmedAtMs.keySet());
        return confirmed.subList(Math.max(0, confirmed.size() - MAX_ANNOUNCED_JOBS), confirmed.size());
    }
}
