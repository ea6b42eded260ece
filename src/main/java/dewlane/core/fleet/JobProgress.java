package dewlane.core.fleet;

import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.UnresolvedWriteTracker;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;

/**
 * What this controller is doing for one job: the write in flight, outcomes to be made durable, launches that the
 * replica does not show yet, the backoff after failures, and handovers to other partitions.
 */
public final class JobProgress {
    /** What became of an attempt. */
    public enum Outcome {
        DONE,
        STOPPED,
        ERROR,
        REFUSED,
        GONE
    }

    /** A launch that the replica does not show yet. */
    public record Launch(Machine machine, Attempt attempt, int slice, Job spec) {}

    private final UnresolvedWriteTracker write = new UnresolvedWriteTracker();
    private final PendingOutcomes outcomes = new PendingOutcomes();
    private final FailureBackoff failures = new FailureBackoff();
    /** Launches in the write in flight, or in one that the replica does not show yet. */
    private final List<Launch> launchesInFlight = new ArrayList<>();

    private long pausedUntilMs;
    private long handedOverAtMs;
    private long handoverCheckedAtMs;

    /** A write about the job is sent. */
    public void beginWrite() {
        write.begin();
    }

    /** The write was answered at the revision, which the replica has yet to reach. */
    public void completeWrite(long revision) {
        write.complete(revision);
    }

    /** Nothing is written before the given steady time, as a write was called invalid. */
    public void blockWritesUntil(long atMs) {
        pausedUntilMs = atMs;
    }

    /** True while a write is in flight, its revision is not yet in the replica, or the job is paused. */
    public boolean isWriteBlocked(long revision, long now) {
        return write.isUnresolved(revision) || now < pausedUntilMs;
    }

    /** True while a write is in flight or its revision is not yet in the replica. */
    boolean isWriteUnresolved(long revision) {
        return write.isUnresolved(revision);
    }

    /** True if there are outcomes that the replica does not show yet. */
    public boolean hasOutcomes() {
        return !outcomes.isEmpty();
    }

    /** The outcome of an attempt, or null if none is known or the replica shows it. */
    public Outcome outcome(AttemptId attempt) {
        return outcomes.get(attempt);
    }

    /** Notes an outcome that is to be made durable; true if it is the first one of the attempt, which counts. */
    public boolean recordOutcome(AssignedAttempt attempt, Outcome outcome, long nowMs) {
        return outcomes.add(attempt, outcome, nowMs);
    }

    /** The replica shows that the attempt is gone. */
    void removeOutcome(AttemptId attempt) {
        outcomes.remove(attempt);
    }

    /** Since when outcomes of the slice gather, in steady time; now if none do. */
    public long batchOpenedAtMs(int slice, long now) {
        return outcomes.gatheringSinceMs(slice, now);
    }

    /**
     * Outcomes of the slice are being written: they stay listed until the replica shows them, and later ones gather
     * anew.
     */
    public void closeBatch(int slice) {
        outcomes.resetGathering(slice);
    }

    /** A launch was decided. */
    void addLaunch(Launch launch) {
        launchesInFlight.add(launch);
    }

    /** The launches that the replica does not show yet. */
    List<Launch> launchesInFlight() {
        return Collections.unmodifiableList(launchesInFlight);
    }

    /** Removes and returns the launches that the stored slice shows: those up to its latest. */
    List<Launch> removeLaunchesShownIn(int sliceNumber, Slice slice) {
        List<Launch> shown = new ArrayList<>();
        for (Iterator<Launch> launches = launchesInFlight.iterator(); launches.hasNext(); ) {
            Launch launch = launches.next();
            if (launch.slice() == sliceNumber
                    && slice.launchCount() >= launch.attempt().number()) {
                launches.remove();
                shown.add(launch);
            }
        }
        return shown;
    }

    /** Removes and returns all launches: the replica has reached the answer to their write and does not show them. */
    List<Launch> removeAllLaunches() {
        List<Launch> removed = List.copyOf(launchesInFlight);
        launchesInFlight.clear();
        return removed;
    }

    /** A task failed on the machine: the job backs off, longer with each failure. */
    public void recordFailure(String machine, long nowMs) {
        failures.recordFailure(machine, nowMs);
    }

    /** How many tasks of the job have failed. */
    public int failureCount() {
        return failures.failureCount();
    }

    /** True if the job failed on several machines, so that it is itself at fault. */
    public boolean isFaulty() {
        return failures.isFaulty();
    }

    /** Nothing of the job is launched before the given steady time. */
    public void setRetryAtMs(long atMs) {
        failures.retryNotBefore(atMs);
    }

    /** Steady time before which nothing of the job is launched. */
    public long retryAtMs() {
        return failures.retryAtMs();
    }

    /** When tasks of the job were last handed over to another partition, in steady time; 0: never. */
    public long handedOverAtMs() {
        return handedOverAtMs;
    }

    /** Tasks of the job are handed over to another partition. */
    public void markHandedOver(long nowMs) {
        handedOverAtMs = nowMs;
    }

    /** When another partition with room was last looked for, in steady time; 0: never. */
    public long handoverCheckedAtMs() {
        return handoverCheckedAtMs;
    }

    /** Another partition with room is looked for. */
    public void markHandoverChecked(long nowMs) {
        handoverCheckedAtMs = nowMs;
    }
}
