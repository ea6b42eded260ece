package dewlane.core.job;

import dewlane.core.model.Priority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;

/**
 * Priority and deadline inheritance: a job has the highest priority of all jobs that depend on it, directly or through
 * others, and a deadline early enough for them to keep theirs. Both are updated only when a dependent comes or goes,
 * and the change is propagated up the dependency graph only as far as it changes something.
 */
final class UrgencyInheritance {
    /**
     * Time between the end of a job and the start of its dependents: the write of its result, the watch, the launch and
     * the image fetch.
     */
    private static final double START_LATENCY_S = 3;

    private final StoreReplica replica;
    private final DependencyGraph graph;

    UrgencyInheritance(StoreReplica replica, DependencyGraph graph) {
        this.replica = replica;
        this.graph = graph;
    }

    /**
     * Raises the urgency of a job, and of its own dependencies, for a dependent that is new or has become more urgent.
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

    /** Computes the urgency of all dependencies of a job anew after that job failed. */
    void recomputeDependenciesOf(String failedJob) {
        graph.allDependencies(failedJob).forEach(this::recompute);
    }

    /** Computes the urgency of a job anew after one of its dependents went. */
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

    /** Time of day by which the dependencies of a job have to end for the job to meet its own deadline. */
    private static long latestEndOfDependenciesMs(JobEntry job) {
        if (job.deadlineMs() == JobEntry.NO_DEADLINE) {
            return JobEntry.NO_DEADLINE;
        }
        return job.deadlineMs() - (long) (1000 * (job.job().expectedRunS() + START_LATENCY_S));
    }
}
