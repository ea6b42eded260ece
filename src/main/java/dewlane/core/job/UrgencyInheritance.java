package dewlane.core.job;

import dewlane.core.model.Priority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;

/**
 * Priority and deadline inheritance: a job inherits the highest priority of all jobs that depend on it, directly or
 * transitively, and a deadline early enough for them to meet theirs. Both are updated only when a job is added, fails
 * or is removed, and an update is propagated to further dependencies only while it changes a value.
 */
final class UrgencyInheritance {
    /**
     * The estimated time between the end of a job and the start of its dependents. It covers the write of the result,
     * its arrival by the watch, the launch and the image fetch.
     */
    private static final double START_LATENCY_S = 3;

    private final StoreReplica replica;
    private final DependencyGraph graph;

    UrgencyInheritance(StoreReplica replica, DependencyGraph graph) {
        this.replica = replica;
        this.graph = graph;
    }

    /**
     * Raises the priority of a job and makes its deadline earlier as far as a dependent that is new or has become more
     * urgent requires it, and propagates the change to the dependencies of the job.
     */
    void raise(JobEntry dependency, JobEntry dependent) {
        if (graph.hasFailed(dependent.id())) {
            return;
        }
        Priority priority = highest(dependency.priority(), dependent.priority());
        long deadlineMs = Math.min(dependency.deadlineMs(), latestEndOfDependenciesMs(dependent));
        if (priority == dependency.priority() && deadlineMs == dependency.deadlineMs()) {
            return;
        }
        dependency.inheritUrgency(priority, deadlineMs);
        for (String id : graph.unsatisfiedDependencies(dependency.id())) {
            JobEntry upstream = replica.activeJob(id);
            if (upstream != null) {
                raise(upstream, dependency);
            }
        }
    }

    /** Recomputes the priority and deadline of all dependencies of a job that failed. */
    void recomputeDependenciesOf(String failedJob) {
        graph.allDependencies(failedJob).forEach(this::recompute);
    }

    /** Recomputes the priority and deadline of a job after one of its dependents was removed or failed. */
    void recompute(String id) {
        JobEntry job = replica.activeJob(id);
        if (job == null) {
            return;
        }
        Priority priority = job.job().priority();
        long deadlineMs = job.ownDeadlineMs();
        for (String dependentId : graph.dependents(id)) {
            JobEntry dependent = replica.activeJob(dependentId);
            if (dependent != null && !graph.hasFailed(dependentId)) {
                priority = highest(priority, dependent.priority());
                deadlineMs = Math.min(deadlineMs, latestEndOfDependenciesMs(dependent));
            }
        }
        if (priority != job.priority() || deadlineMs != job.deadlineMs()) {
            job.inheritUrgency(priority, deadlineMs);
            graph.unsatisfiedDependencies(id).forEach(this::recompute);
        }
    }

    private static Priority highest(Priority one, Priority other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Returns the wall-clock time by which the dependencies of a job must end for the job to meet its deadline. */
    private static long latestEndOfDependenciesMs(JobEntry job) {
        if (job.deadlineMs() == JobEntry.NO_DEADLINE) {
            return JobEntry.NO_DEADLINE;
        }
        return job.deadlineMs() - (long) (1000 * (job.job().expectedRunS() + START_LATENCY_S));
    }
}
