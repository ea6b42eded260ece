package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The attempts that the store assigns to a machine, and the resources that are used or reserved on it. */
final class MachineLoad {
    private final Map<AttemptId, AssignedAttempt> attempts = new LinkedHashMap<>();
    private final ResourceUsage usage = new ResourceUsage();
    /** Null while nothing is reserved. */
    private ResourceUsage reserved;

    private int unwrittenLaunches;
    private long idleSinceMs;

    MachineLoad(long nowMs) {
        idleSinceMs = nowMs;
    }

    /** Returns the attempts that the store assigns to the machine, in the order in which they were added. */
    Collection<AssignedAttempt> attempts() {
        return attempts.values();
    }

    /** Returns the attempt, or null if the store does not assign it to the machine. */
    AssignedAttempt attempt(AttemptId id) {
        return attempts.get(id);
    }

    /** Adds an attempt that the store assigns to the machine. */
    void add(AssignedAttempt attempt) {
        attempts.put(attempt.id(), attempt);
    }

    /** Removes and returns an attempt; returns null if there was none. */
    AssignedAttempt remove(AttemptId id) {
        return attempts.remove(id);
    }

    /**
     * Returns the resources used by attempts that may be on the machine. The classes that count attempts update it in
     * place.
     */
    ResourceUsage usage() {
        return usage;
    }

    /** Counts a launch that was decided and that the replica does not show yet. */
    void addUnwrittenLaunch(Job job) {
        unwrittenLaunches++;
        usage.add(job);
    }

    /** Stops counting a launch that the replica shows by now, or that was not written. */
    void removeUnwrittenLaunch(Job job) {
        unwrittenLaunches--;
        usage.remove(job);
    }

    /** Returns true if a launch on the machine was decided that the replica does not show yet. */
    boolean hasUnwrittenLaunch() {
        return unwrittenLaunches > 0;
    }

    /** Returns the number of tasks of the job that fit into the resources that are neither used nor reserved. */
    int capacityFor(MachineType type, Job job) {
        return reserved == null
                ? usage.capacityFor(type, job)
                : new ResourceUsage(usage).add(reserved).capacityFor(type, job);
    }

    /** Reserves resources for one task of the job. */
    void reserve(Job job) {
        reserved = reserved == null ? new ResourceUsage() : reserved;
        reserved.add(job);
    }

    /** Releases all reservations. */
    void clearReservations() {
        reserved = null;
    }

    /** Returns the monotonic time since which the machine has been idle. */
    long idleSinceMs() {
        return idleSinceMs;
    }

    /**
     * Called when an attempt was removed or a launch in flight is no longer counted. If no attempt can be on the
     * machine any more, the machine is idle from now on.
     */
    void markIdleIfEmpty(long nowMs) {
        if (attempts.isEmpty() && usage.isEmpty()) {
            idleSinceMs = nowMs;
        }
    }
}
