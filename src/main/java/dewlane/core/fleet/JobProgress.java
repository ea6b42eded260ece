package dewlane.core.fleet;

import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What this controller is doing for one job: outcomes to make durable, and the write under way. */
public final class JobProgress {
    /** What became of an attempt. */
    public enum Outcome {
        DONE,
        STOPPED,
        ERROR,
        REFUSED,
        GONE
    }

    /** Failures are retried with growing pauses, from twice this one up to the longest. */
    private static final long FAILURE_BACKOFF_MS = 250;

    private static final long MAX_FAILURE_BACKOFF_MS = 30_000;
    private static final int MAX_FAILURE_DOUBLINGS = 7;
    /** A job that fails on so many machines is itself at fault. */
    private static final int FAULTY_MACHINES = 3;

    private final Map<AttemptId, Outcome> outcomes = new HashMap<>();
    /** By slice, since when outcomes gather that are still to be made durable. */
    private final Map<Integer, Long> gatheringSince = new HashMap<>();
    /** Launches in the write in flight, or in one that the replica does not show yet. */
    final List<Launch> launchesInFlight = new ArrayList<>();

    private boolean writeInFlight;
    /** Nothing is decided before the replica has reached this revision. */
    private long settledRevision;

    private final Set<String> failedMachines = new HashSet<>();
    private int failureCount;
    private long pausedUntilMs;
    private long retryAtMs;
    private long handedOverAtMs;
    private long handoverCheckedAtMs;

    /** A launch that is not yet seen in the replica. */
    public record Launch(Machine machine, Attempt attempt, int slice, Job spec) {}

    /** True if the job failed on several machines, so that it is itself at fault. */
    public boolean isFaulty() {
        return failedMachines.size() >= FAULTY_MACHINES;
    }

    /** A task failed on the machine: the job pauses, longer with each failure. */
    public void recordFailure(String machine, long nowMs) {
        failureCount++;
        failedMachines.add(machine);
        long backoffMs = FAILURE_BACKOFF_MS << Math.min(failureCount, MAX_FAILURE_DOUBLINGS);
        retryAtMs = nowMs + Math.min(MAX_FAILURE_BACKOFF_MS, backoffMs);
    }

    /** How many tasks of the job have failed. */
    public int failureCount() {
        return failureCount;
    }

    /** Nothing of the job is launched before the given steady time. */
    public void retryNotBefore(long atMs) {
        retryAtMs = atMs;
    }

    /** Steady time before which nothing of the job is launched. */
    public long retryAtMs() {
        return retryAtMs;
    }

    /** A write about the job is sent. */
    public void beginWrite() {
        writeInFlight = true;
    }

    /** The write was answered at the revision, which the replica has yet to reach. */
    public void completeWrite(long revision) {
        writeInFlight = false;
        settledRevision = revision;
    }

    /** Nothing is written before the given steady time, as a write was called invalid. */
    public void pauseUntil(long atMs) {
        pausedUntilMs = atMs;
    }

    /** When tasks of the job were last handed over to another partition, in steady time. */
    public long handedOverAtMs() {
        return handedOverAtMs;
    }

    /** Tasks of the job are handed over to another partition. */
    public void markHandedOver(long nowMs) {
        handedOverAtMs = nowMs;
    }

    /** When another partition with room was last looked for, in steady time. */
    public long handoverCheckedAtMs() {
        return handoverCheckedAtMs;
    }

    /** Another partition with room is looked for. */
    public void markHandoverChecked(long nowMs) {
        handoverCheckedAtMs = nowMs;
    }

    /** True if there are outcomes that the replica does not show yet. */
    public boolean hasOutcomes() {
        return !outcomes.isEmpty();
    }

    /** The outcome of an attempt, or null if none is known or the replica shows it. */
    public Outcome outcome(AttemptId attempt) {
        return outcomes.get(attempt);
    }

    /** The replica shows that the attempt is gone. */
    void removeOutcome(AttemptId attempt) {
        outcomes.remove(attempt);
    }

    /** Notes an outcome that is to be made durable; true if it is the first one of the attempt. */
    public boolean recordOutcome(AssignedAttempt attempt, Outcome outcome, long nowMs) {
        beginGathering(attempt.slice().number(), nowMs);
        return outcomes.putIfAbsent(attempt.id(), outcome) == null;
    }

    /** An outcome of the slice is to be made durable. */
    public void beginGathering(int slice, long now) {
        gatheringSince.putIfAbsent(slice, now);
    }

    /** Since when outcomes of the slice gather. */
    public long gatheringSince(int slice, long now) {
        return gatheringSince.getOrDefault(slice, now);
    }

    /** What comes from now on gathers anew: outcomes in a write stay listed until the replica shows them. */
    public void resetGathering(int slice) {
        gatheringSince.remove(slice);
    }

    /** True while a write is in flight, its revision is not yet in the replica, or the job is paused. */
    public boolean isBusy(long revision, long now) {
        return writeInFlight || revision < settledRevision || now < pausedUntilMs;
    }
}
