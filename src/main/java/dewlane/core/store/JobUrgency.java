package dewlane.core.store;

import dewlane.core.model.Job;
import dewlane.core.model.Priority;

/**
 * How urgent a job is, as its own record says at first and the jobs that depend on it, or that it awaited, add later.
 */
final class JobUrgency {
    /** Stands for a job without a deadline of its own or of a dependent. */
    static final long NO_DEADLINE = Long.MAX_VALUE;

    private static final long MS_PER_S = 1000;

    private Priority priority;
    private long deadlineMs = NO_DEADLINE;
    private long waitingSinceMs;

    /** Begins with what the job's own record says. */
    void start(Job job) {
        inherit(job.priority(), ownDeadlineMs(job));
        waitingSinceMs = job.acceptedAtMs();
    }

    /** Takes the priority and deadline that follow from the job's dependents. */
    void inherit(Priority highest, long earliestDeadlineMs) {
        priority = highest;
        deadlineMs = earliestDeadlineMs;
    }

    /** The job has waited for a dependency until the given time of day. */
    void dependencyEnded(long atMs) {
        waitingSinceMs = Math.max(waitingSinceMs, atMs);
    }

    Priority priority() {
        return priority;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    long waitingSinceMs() {
        return waitingSinceMs;
    }

    /** Time of day of a job's own deadline, counted from its acceptance however long it awaits others. */
    static long ownDeadlineMs(Job job) {
        return job.deadlineS() > 0 ? job.acceptedAtMs() + (long) (MS_PER_S * job.deadlineS()) : NO_DEADLINE;
    }
}
