package dewlane.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What this controller is doing for one job: outcomes to make durable, and the write under way. */
final class JobProgress {
    /** What became of an attempt. */
    enum Outcome {
        DONE,
        STOPPED,
        ERROR,
        REFUSED,
        GONE
    }

    final Map<Machine.Key, Outcome> outcomes = new HashMap<>();
    /** By slice, since when outcomes gather that are still to be made durable. */
    private final Map<Integer, Long> gatheringSince = new HashMap<>();
    /** Launches in the write under way, or in one that the replica does not show yet. */
    final List<Launch> launching = new ArrayList<>();

    boolean writing;
    /** Nothing is decided before the replica has reached this revision. */
    long settled;
    /** Machines on which a task of the job failed. */
    final Set<String> failedOn = new HashSet<>();

    int errors;
    /** Nothing is written before this time: a write was called invalid. */
    long pausedUntil;

    long notBefore;
    long handedAt;
    /** When another part with room was last looked for. */
    long lookedAt;

    /** A launch that is not yet seen in the replica. */
    record Launch(Machine machine, Attempt attempt, int slice, Job spec) {}

    /** A job that fails on several machines is itself at fault. */
    boolean faulty() {
        return failedOn.size() >= 3;
    }

    /** An outcome of the slice is to be made durable. */
    void gather(int slice, long now) {
        gatheringSince.putIfAbsent(slice, now);
    }

    /** Since when outcomes of the slice gather. */
    long gatheringSince(int slice, long now) {
        return gatheringSince.getOrDefault(slice, now);
    }

    /** What comes from now on gathers anew: outcomes in a write stay listed until the replica shows them. */
    void gatherAnew(int slice) {
        gatheringSince.remove(slice);
    }

    boolean busy(long revision, long now) {
        return writing || revision < settled || now < pausedUntil;
    }
}
