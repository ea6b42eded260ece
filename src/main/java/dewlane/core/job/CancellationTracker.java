package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which jobs are cancelled and since when. The records can be as stale as the local replica of the store, whose
 * age {@link dewlane.core.store.ReplicaFreshness} bounds.
 *
 * <p>A controller announces to its peers the cancellations that it has committed, so that they stop tasks before their
 * replicas show the change. An announcement needs no verification: a cancellation is announced only once it is durable,
 * and tasks of a durably cancelled job may always be stopped.
 */
public final class CancellationTracker {
    /** Bounds the size of a message to peers. If there are more cancellations, the latest ones are announced. */
    private static final int MAX_ANNOUNCED_JOBS = 500;
    /** The time for which a cancellation is announced, as a multiple of the cancellation deadline. */
    private static final int ANNOUNCEMENT_WINDOW_FACTOR = 2;
    /** The time for which a cancellation is kept while the job's record is not removed, in announcement windows. */
    private static final int RETENTION_FACTOR = 4;

    private final ControllerContext context;
    private final long announcementWindowMs;
    /** The monotonic time at which this controller recorded a cancellation, by job. Removed with the job's record. */
    private final Map<String, Long> cancelledSinceMs = new LinkedHashMap<>();
    /** The monotonic time at which this controller itself committed a cancellation, by job. */
    private final Map<String, Long> committedAtMs = new LinkedHashMap<>();

    private boolean announcementDue;

    /** Creates a tracker without cancellations. */
    public CancellationTracker(ControllerContext context) {
        this.context = context;
        this.announcementWindowMs =
                (long) (1000 * ANNOUNCEMENT_WINDOW_FACTOR * context.settings().cancellationDeadlineS());
    }

    /** Returns true if the job has ended or is cancelled, so that no task of it may run. */
    public boolean mustNotRun(JobEntry job) {
        return job.job() == null || job.isCancelled() || cancelledSinceMs.containsKey(job.id());
    }

    /**
     * Returns the milliseconds since the job was cancelled, or 0 if no cancellation is recorded. They are counted from
     * the wall-clock time in the job's record, but are never fewer than those since this controller recorded the
     * cancellation. A difference between the clocks of controllers can therefore only make the value too large.
     */
    public long cancelledForMs(JobEntry job) {
        Long sinceMs = cancelledSinceMs.get(job.id());
        long recordedForMs = sinceMs == null ? 0 : context.nowMs() - sinceMs;
        return job.isCancelled() ? Math.max(recordedForMs, context.wallClockMs() - job.cancelledAtMs()) : recordedForMs;
    }

    /** Records a cancellation that a job's record shows, and drops it when the record is removed. */
    public void onReplicaChange(ReplicaChange change) {
        if (!(change instanceof ReplicaChange.JobChanged jobChange)) {
            return;
        }
        if (jobChange.after() == null) {
            cancelledSinceMs.remove(jobChange.job().id());
        } else if (jobChange.after().isCancelled()) {
            cancelledSinceMs.putIfAbsent(jobChange.job().id(), context.nowMs());
        }
    }

    /** Called when this controller has committed the write that cancels the job. */
    public void onCancellationCommitted(String job) {
        cancelledSinceMs.putIfAbsent(job, context.nowMs());
        committedAtMs.put(job, context.nowMs());
        announcementDue = true;
    }

    /**
     * Called when a peer announces that it has committed the cancellation of the job.
     *
     * @return true if the cancellation was not recorded before
     */
    public boolean onPeerCancellation(String job) {
        return cancelledSinceMs.putIfAbsent(job, context.nowMs()) == null;
    }

    /** Returns true if a cancellation was committed since the last call, so that peers are to be notified at once. */
    public boolean takeAnnouncementDue() {
        boolean due = announcementDue;
        announcementDue = false;
        return due;
    }

    /** Drops cancellations whose announcement or retention time has passed. */
    public void removeExpired() {
        committedAtMs.values().removeIf(at -> context.nowMs() - at > announcementWindowMs);
        cancelledSinceMs.values().removeIf(at -> context.nowMs() - at > RETENTION_FACTOR * announcementWindowMs);
    }

    /** Returns the jobs whose cancellation is to be announced to peers: the latest that this controller committed. */
    public List<String> jobsToAnnounce() {
        List<String> committed = new ArrayList<>(committedAtMs.keySet());
        return committed.subList(Math.max(0, committed.size() - MAX_ANNOUNCED_JOBS), committed.size());
    }
}
