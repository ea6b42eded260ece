package dewlane.core.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * The failures of a job's tasks, and the backoff before its next launch, which doubles with each failure up to a limit.
 */
final class FailureBackoff {
    private static final long BASE_BACKOFF_MS = 250;
    private static final long MAX_BACKOFF_MS = 30_000;
    private static final int MAX_DOUBLINGS = 7;

    /** A job whose tasks fail on this many machines is itself faulty. */
    private static final int FAULTY_JOB_MIN_MACHINES = 3;

    private final Set<String> failedMachines = new HashSet<>();
    private int failureCount;
    private long retryAtMs;

    /** Records that a task failed on the machine. */
    void recordFailure(String machine, long nowMs) {
        failureCount++;
        failedMachines.add(machine);
        long backoffMs = BASE_BACKOFF_MS << Math.min(failureCount, MAX_DOUBLINGS);
        retryAtMs = nowMs + Math.min(MAX_BACKOFF_MS, backoffMs);
    }

    /** Sets the monotonic time before which nothing is launched. */
    void setRetryAtMs(long atMs) {
        retryAtMs = atMs;
    }

    /** Returns the monotonic time before which nothing is launched. */
    long retryAtMs() {
        return retryAtMs;
    }

    /** Returns how many tasks have failed. */
    int failureCount() {
        return failureCount;
    }

    /** Returns true if tasks failed on enough machines for the job itself to count as faulty. */
    boolean isFaulty() {
        return failedMachines.size() >= FAULTY_JOB_MIN_MACHINES;
    }
}
