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

    public final Map<AttemptId, Outcome> outcomes = new HashMap<>();
    /** By slice, since when outcomes gather that are still to be made durable. */
    private final Map<Integer, Long> gatheringSince = new HashMap<>();
    /** Launches in the write under way, or in one that the replica does not show yet. */
    final List<Launch> launchesInFlight = new ArrayList<>();

    public boolean writeInFlight;
    /** Nothing is decided before the replica has reached this revision. */
    public long settledRevision;
    /** Machines on which a task of the job failed. */
    public final Set<String> failedMachines = new HashSet<>();

    public int failureCount;
    /** Nothing is written before this time: a write was called invalid. */
    public long pausedUntilMs;

    public long retryAtMs;
    public long handedOverAtMs;
    /** When another part with room was last looked for. */
    public long handoverCheckedAtMs;

    /** A launch that is not yet seen in the replica. */
    public record Launch(Machine machine, Attempt attempt, int slice, Job spec) {}

    /** A job that fails on several machines is itself at fault. */
    public boolean isFaulty() {
        return failedMachines.size() >= 3;
    }

    /** Notes an outcome that is to be made durable; true if it is the first one of the attempt. */
    public boolean recordOutcome(AssignedAttempt attempt, Outcome outcome, long nowMs) {
        beginGathering(attempt.slice.number, nowMs);
        return outcomes.putIfAbsent(attempt.id, outcome) == null;
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
