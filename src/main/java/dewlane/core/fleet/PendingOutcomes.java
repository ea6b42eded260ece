package dewlane.core.fleet;

import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.model.AttemptId;
import java.util.HashMap;
import java.util.Map;

/**
 * The outcomes of a job's attempts that the replica does not show yet. Outcomes of a slice are collected in a batch
 * until they are written.
 */
final class PendingOutcomes {
    private final Map<AttemptId, Outcome> byAttempt = new HashMap<>();
    /** By slice, the monotonic time of the first outcome in the current batch. */
    private final Map<Integer, Long> batchOpenedAtMs = new HashMap<>();

    boolean isEmpty() {
        return byAttempt.isEmpty();
    }

    /** Returns the outcome of the attempt, or null if none is pending. */
    Outcome get(AttemptId attempt) {
        return byAttempt.get(attempt);
    }

    /**
     * Adds an outcome that is to be made durable. Only the first outcome of an attempt counts.
     *
     * @return true if it is the attempt's first outcome
     */
    boolean add(AssignedAttempt attempt, Outcome outcome, long nowMs) {
        batchOpenedAtMs.putIfAbsent(attempt.slice().number(), nowMs);
        return byAttempt.putIfAbsent(attempt.id(), outcome) == null;
    }

    /** Called when the replica no longer contains the attempt. */
    void remove(AttemptId attempt) {
        byAttempt.remove(attempt);
    }

    /** Returns the monotonic time of the first outcome in the slice's current batch; now if the batch is empty. */
    long batchOpenedAtMs(int slice, long nowMs) {
        return batchOpenedAtMs.getOrDefault(slice, nowMs);
    }

    /** Called when outcomes of the slice are being written: later ones start a new batch. */
    void closeBatch(int slice) {
        batchOpenedAtMs.remove(slice);
    }
}
