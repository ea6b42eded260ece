package dewlane.core.store;

import dewlane.core.model.Job;
import dewlane.core.model.Priority;

/**
 * The urgency of a job: its priority, its deadline, and when it began to wait. Its own record sets the initial values;
 * the jobs that depend on it and the ends of its dependencies change them.
 */
final class JobUrgency {
    /** The deadline if neither the job nor any job that depends on it has a deadline. */
    static final long NO_DEADLINE = Long.MAX_VALUE;

    private static final long MS_PER_S = 1000;

    private Priority priority;
    private long deadlineMs = NO_DEADLINE;
    private long waitingSinceMs;

    /** Sets the initial values from the job's own record. */
    void initialize(Job job) {
        inherit(job.priority(), ownDeadlineMs(job));
        waitingSinceMs = job.acceptedAtMs();
    }

    /** Sets the priority and deadline that take the jobs that depend on this one into account. */
    void inherit(Priority highest, long earliestDeadlineMs) {
        priority = highest;
        deadlineMs = earliestDeadlineMs;
    }

    /** Called when a dependency of the job has ended at the given wall-clock time. */
    void onDependencyEnded(long atMs) {
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

    /**
     * Returns the wall-clock time of a job's own deadline. It counts from the job's acceptance, however long the job
     * waits for dependencies.
     */
    static long ownDeadlineMs(Job job) {
        return job.deadlineS() > 0 ? job.acceptedAtMs() + (long) (MS_PER_S * job.deadlineS()) : NO_DEADLINE;
    }
}
