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
 * Tracks the work of this controller on one job: the write in flight, outcomes that are still to be written, launches
 * that the replica does not show yet, the backoff after failures, and handovers to other partitions.
 */
public final class JobProgress {
    /** How an attempt ended. */
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
    /** Launches in the write in flight, or in a committed one that the replica does not show yet. */
    private final List<Launch> launchesInFlight = new ArrayList<>();

    private long writesBlockedUntilMs;
    private long handedOverAtMs;
    private long handoverCheckedAtMs;

    /** Called when a write about the job is sent. */
    public void onWriteSubmitted() {
        write.onSubmitted();
    }

    /** Called when the write was answered at the given revision, which the replica may not have reached yet. */
    public void onWriteAnswered(long revision) {
        write.onAnswered(revision);
    }

    /** Prevents writes about the job until the given monotonic time, after the store called one invalid. */
    public void blockWritesUntil(long atMs) {
        writesBlockedUntilMs = atMs;
    }

    /**
     * Returns true while a write is in flight, the replica has not reached the revision of its answer, or writes are
     * blocked for a time.
     */
    public boolean isWriteBlocked(long revision, long now) {
        return write.isUnresolved(revision) || now < writesBlockedUntilMs;
    }

    /** Returns true while a write is in flight or the replica has not reached the revision of its answer. */
    boolean isWriteUnresolved(long revision) {
        return write.isUnresolved(revision);
    }

    /** Returns true if there are outcomes that the replica does not show yet. */
    public boolean hasOutcomes() {
        return !outcomes.isEmpty();
    }

    /** Returns the outcome of an attempt, or null if none is recorded or the replica already shows it. */
    public Outcome outcome(AttemptId attempt) {
        return outcomes.get(attempt);
    }

    /**
     * Adds an outcome that is to be made durable. Only the first outcome of an attempt counts.
     *
     * @return true if it is the attempt's first outcome
     */
    public boolean recordOutcome(AssignedAttempt attempt, Outcome outcome, long nowMs) {
        return outcomes.add(attempt, outcome, nowMs);
    }

    /** Called when the replica no longer contains the attempt. */
    void removeOutcome(AttemptId attempt) {
        outcomes.remove(attempt);
    }

    /** Returns the monotonic time of the first outcome in the slice's current batch; now if the batch is empty. */
    public long batchOpenedAtMs(int slice, long now) {
        return outcomes.batchOpenedAtMs(slice, now);
    }

    /**
     * Called when outcomes of the slice are being written: they stay listed until the replica shows them, and later
     * ones start a new batch.
     */
    public void closeBatch(int slice) {
        outcomes.closeBatch(slice);
    }

    /** Adds a launch that was decided. */
    void addLaunch(Launch launch) {
        launchesInFlight.add(launch);
    }

    /** Returns the launches that the replica does not show yet. */
    List<Launch> launchesInFlight() {
        return Collections.unmodifiableList(launchesInFlight);
    }

    /**
     * Removes and returns the launches that the stored slice already contains: those up to its latest launch number.
     */
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

    /**
     * Removes and returns all launches, once the replica has reached the answer to their write and does not show them.
     */
    List<Launch> removeAllLaunches() {
        List<Launch> removed = List.copyOf(launchesInFlight);
        launchesInFlight.clear();
        return removed;
    }

    /** Records that a task failed on the machine: the job backs off, longer with each failure. */
    public void recordFailure(String machine, long nowMs) {
        failures.recordFailure(machine, nowMs);
    }

    /** Returns how many tasks of the job have failed. */
    public int failureCount() {
        return failures.failureCount();
    }

    /** Returns true if the job failed on several machines, so that the job itself is faulty. */
    public boolean isFaulty() {
        return failures.isFaulty();
    }

    /** Sets the monotonic time before which no task of the job is launched. */
    public void setRetryAtMs(long atMs) {
        failures.setRetryAtMs(atMs);
    }

    /** Returns the monotonic time before which no task of the job is launched. */
    public long retryAtMs() {
        return failures.retryAtMs();
    }

    /** Returns the monotonic time at which tasks of the job were last handed over to another partition; 0 if never. */
    public long handedOverAtMs() {
        return handedOverAtMs;
    }

    /** Records that tasks of the job are handed over to another partition. */
    public void markHandedOver(long nowMs) {
        handedOverAtMs = nowMs;
    }

    /** Returns the monotonic time of the last search for another partition with free capacity; 0 if never. */
    public long handoverCheckedAtMs() {
        return handoverCheckedAtMs;
    }

    /** Records that another partition with free capacity is searched for. */
    public void markHandoverChecked(long nowMs) {
        handoverCheckedAtMs = nowMs;
    }
}
