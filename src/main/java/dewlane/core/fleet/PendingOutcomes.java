package dewlane.core.fleet;

import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.model.AttemptId;
import java.util.HashMap;
import java.util.Map;

/** The outcomes of a job's attempts that the replica does not show yet, and since when they gather for a write. */
final class PendingOutcomes {
    private final Map<AttemptId, Outcome> byAttempt = new HashMap<>();
    /** By slice, in steady time. */
    private final Map<Integer, Long> gatheringSinceMs = new HashMap<>();

    boolean isEmpty() {
        return byAttempt.isEmpty();
    }

    /** The outcome of the attempt, or null if none is pending. */
    Outcome get(AttemptId attempt) {
        return byAttempt.get(attempt);
    }

    /** Notes an outcome that is to be made durable; true if it is the first one of the attempt, which counts. */
    boolean add(AssignedAttempt attempt, Outcome outcome, long nowMs) {
        gatheringSinceMs.putIfAbsent(attempt.slice().number(), nowMs);
        return byAttempt.putIfAbsent(attempt.id(), outcome) == null;
    }

    /** The replica shows that the attempt is gone. */
    void remove(AttemptId attempt) {
        byAttempt.remove(attempt);
    }

    /** Since when outcomes of the slice gather; now if none do. */
    long gatheringSinceMs(int slice, long nowMs) {
        return gatheringSinceMs.getOrDefault(slice, nowMs);
    }

    /** Outcomes of the slice are being written, so later ones gather anew. */
    void resetGathering(int slice) {
        gatheringSinceMs.remove(slice);
    }
}
