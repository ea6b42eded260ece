package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** What may be running on a machine: the attempts held against it, and the resources that are used or reserved. */
final class MachineLoad {
    private final Map<AttemptId, AssignedAttempt> attempts = new LinkedHashMap<>();
    private final ResourceUsage usage = new ResourceUsage();
    /** Null while nothing is reserved. */
    private ResourceUsage reserved;

    private long idleSinceMs;

    MachineLoad(long nowMs) {
        idleSinceMs = nowMs;
    }

    /** The attempts that the store holds against the machine, in the order in which they were added. */
    Collection<AssignedAttempt> attempts() {
        return attempts.values();
    }

    /** The attempt, or null if the store does not hold it against the machine. */
    AssignedAttempt attempt(AttemptId id) {
        return attempts.get(id);
    }

    /** The store holds another attempt against the machine. */
    void add(AssignedAttempt attempt) {
        attempts.put(attempt.id(), attempt);
    }

    /** Removes an attempt; null if there was none. */
    AssignedAttempt remove(AttemptId id) {
        return attempts.remove(id);
    }

    /** The resources taken by attempts that may be on the machine, updated in place by those who count attempts. */
    ResourceUsage usage() {
        return usage;
    }

    /** The number of tasks of the job that fit beside what is used and reserved. */
    int capacityFor(MachineType type, Job job) {
        return reserved == null
                ? usage.capacityFor(type, job)
                : new ResourceUsage(usage).add(reserved).capacityFor(type, job);
    }

    /** Reserves room for one task of the job. */
    void reserve(Job job) {
        reserved = reserved == null ? new ResourceUsage() : reserved;
        reserved.add(job);
    }

    /** Drops all reservations. */
    void clearReservations() {
        reserved = null;
    }

    /** Since when nothing has been on the machine, in steady time. */
    long idleSinceMs() {
        return idleSinceMs;
    }

    /**
     * An attempt ended or a launch was taken back: if nothing may be on the machine any more, it is idle from now on.
     */
    void markIdleIfEmpty(long nowMs) {
        if (attempts.isEmpty() && usage.isEmpty()) {
            idleSinceMs = nowMs;
        }
    }
}
