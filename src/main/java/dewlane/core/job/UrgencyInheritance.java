package dewlane.core.job;

import dewlane.core.model.Priority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Priority and deadline inheritance: a job inherits the highest priority of all jobs that depend on it, directly or
 * transitively, and a deadline early enough for them to meet theirs.
 *
 * <p>Changes are collected and propagated together. A propagation computes each job at most once, dependents before
 * their dependencies, and needs no stack depth that grows with the number of jobs. Its cost is linear in the number of
 * jobs that the outdated ones depend on, directly or transitively.
 */
final class UrgencyInheritance {
    /**
     * The estimated time between the end of a job and the start of its dependents. It covers the write of the result,
     * its arrival by the watch, the launch and the image fetch.
     */
    private static final double START_LATENCY_S = 3;

    /** The priority and deadline of a job. */
    private record Urgency(Priority priority, long deadlineMs) {}

    private final StoreReplica replica;
    private final DependencyGraph graph;
    /** Jobs whose own record or whose dependents have changed since the last propagation. */
    private final Set<String> changed = new LinkedHashSet<>();

    UrgencyInheritance(StoreReplica replica, DependencyGraph graph) {
        this.replica = replica;
        this.graph = graph;
    }

    /** Records that the job is new, or that one of its dependents is new, has failed or was removed. */
    void markChanged(String job) {
        changed.add(job);
    }

    /** Computes the priority and deadline of the jobs marked as changed, and of all jobs that they depend on. */
    void propagate() {
        Set<String> outdated = new HashSet<>();
        for (String id : changed) {
            if (isOutdated(id)) {
                outdated.add(id);
            }
        }
        changed.clear();
        for (String id : dependentsFirst(outdated)) {
            if (outdated.contains(id) && update(id)) {
                outdated.addAll(graph.unsatisfiedDependencies(id));
            }
        }
    }

    private boolean isOutdated(String id) {
        JobEntry job = replica.activeJob(id);
        return job != null && !urgencyOf(job).equals(currentUrgency(job));
    }

    /** Returns the active jobs among the given ones and all that they depend on, each after its dependents. */
    private List<String> dependentsFirst(Set<String> jobs) {
        return jobs.isEmpty()
                ? List.of()
                : DependencyOrder.dependentsFirst(
                        jobs, graph::unsatisfiedDependencies, id -> replica.activeJob(id) != null);
    }

    /** Computes the job's priority and deadline anew, and returns true if they have changed. */
    private boolean update(String id) {
        JobEntry job = replica.activeJob(id);
        Urgency urgency = urgencyOf(job);
        if (urgency.equals(currentUrgency(job))) {
            return false;
        }
        job.inheritUrgency(urgency.priority(), urgency.deadlineMs());
        return true;
    }

    private static Urgency currentUrgency(JobEntry job) {
        return new Urgency(job.priority(), job.deadlineMs());
    }

    /** Returns the urgency that follows from the job's own record and from its dependents. */
    private Urgency urgencyOf(JobEntry job) {
        Priority priority = job.job().priority();
        long deadlineMs = job.ownDeadlineMs();
        for (String dependentId : graph.dependents(job.id())) {
            JobEntry dependent = replica.activeJob(dependentId);
            if (dependent != null && !graph.hasFailed(dependentId)) {
                priority = highest(priority, dependent.priority());
                deadlineMs = Math.min(deadlineMs, latestEndOfDependenciesMs(dependent));
            }
        }
        return new Urgency(priority, deadlineMs);
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
