package dewlane.core.job;

import dewlane.core.job.DependencyGraph.Result;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.StoreReplica;
import java.util.List;

/**
 * Keeps the {@link DependencyGraph} in step with what is durable: follows the records and results of jobs in the
 * replica, and answers whether a job is cancelled through its dependencies. Dependencies without a record or a result
 * are looked up by {@link DependencyResolver}; priorities and deadlines are passed on by {@link UrgencyInheritance}.
 */
public final class DependencyTracker {
    private final StoreReplica replica;
    private final DependencyGraph graph;
    private final DependencyResolver resolver;
    private final UrgencyInheritance urgency;
    private final DependencyEventLog eventLog;

    /** Tracks the jobs of the replica in the graph, which others may read. */
    public DependencyTracker(
            ControllerContext context, StoreReplica replica, DependencyGraph graph, JobResultReader resultReader) {
        this.replica = replica;
        this.graph = graph;
        this.resolver = new DependencyResolver(context, replica, graph, resultReader);
        this.urgency = new UrgencyInheritance(replica, graph);
        this.eventLog = new DependencyEventLog(context, replica);
    }

    /** Follows the records and results of jobs. */
    public void onReplicaChange(ReplicaChange change) {
        if (change instanceof ReplicaChange.JobChanged jobChange) {
            onJobChanged(jobChange);
        } else if (change instanceof ReplicaChange.JobEnded end) {
            onEnded(end.job(), end.result());
        }
    }

    private void onJobChanged(ReplicaChange.JobChanged change) {
        JobEntry job = change.job();
        if (change.after() == null) {
            onRecordRemoved(job.id());
            return;
        }
        if (change.before() == null) {
            onAdded(job);
        }
        if (change.after().isCancelled()) {
            fail(job.id());
        }
    }

    private void onAdded(JobEntry job) {
        resolver.onRecordFound(job.id());
        List<String> dependencies = job.job().dependencies();
        List<String> failed = graph.add(job.id(), dependencies);
        inheritFromDependents(job);
        dependencies.forEach(dependency -> onDependency(dependency, job));
        eventLog.cancelled(failed, job.id());
        if (!dependencies.isEmpty() && !graph.isReady(job.id()) && !graph.hasFailed(job.id())) {
            eventLog.waiting(job.id(), graph.unsatisfiedDependencies(job.id()));
        }
    }

    private void inheritFromDependents(JobEntry job) {
        for (String id : graph.dependents(job.id())) {
            JobEntry dependent = replica.activeJob(id);
            if (dependent != null) {
                urgency.raise(job, dependent);
            }
        }
    }

    private void onDependency(String id, JobEntry dependent) {
        JobEntry dependency = replica.activeJob(id);
        JobResult result = replica.result(id);
        if (dependency != null) {
            urgency.raise(dependency, dependent);
        } else if (result != null) {
            onEnded(id, result);
        } else {
            resolver.onMissing(id);
        }
    }

    /** A removed record alone proves nothing about the job's end: the store may just be listed anew. */
    private void onRecordRemoved(String id) {
        JobResult result = replica.result(id);
        if (result != null) {
            onEnded(id, result);
        } else if (!graph.dependents(id).isEmpty() && !graph.hasFailed(id)) {
            resolver.onMissing(id);
        }
        List<String> dependencies = List.copyOf(graph.allDependencies(id));
        graph.remove(id);
        dependencies.forEach(urgency::recompute);
        dependencies.forEach(this::stopResolvingIfUnneeded);
    }

    private void stopResolvingIfUnneeded(String id) {
        if (graph.dependents(id).isEmpty()) {
            resolver.stopResolving(id);
        }
    }

    private void onEnded(String id, JobResult result) {
        resolver.stopResolving(id);
        if (!graph.contains(id) && graph.dependents(id).isEmpty()) {
            return;
        }
        if (result.cancelled()) {
            fail(id);
        } else {
            complete(id, result);
        }
    }

    private void complete(String id, JobResult result) {
        for (String dependentId : graph.dependents(id)) {
            JobEntry dependent = replica.activeJob(dependentId);
            if (dependent != null) {
                dependent.onDependencyEnded(result.endedAtMs());
            }
        }
        List<String> waiting = graph.dependents(id).stream()
                .filter(dependent -> !graph.isReady(dependent))
                .toList();
        graph.recordResult(id, Result.DONE);
        for (String dependent : waiting) {
            if (graph.isReady(dependent)) {
                eventLog.ready(dependent, id);
            }
        }
    }

    private void fail(String id) {
        List<String> failedDependents = graph.recordResult(id, Result.FAILED);
        eventLog.cancelled(failedDependents, id);
        urgency.recomputeDependenciesOf(id);
        failedDependents.forEach(urgency::recomputeDependenciesOf);
    }

    /**
     * Reads results of dependencies that are missing from the replica.
     *
     * @param caughtUp whether the replica holds all that is known to be durable
     */
    public void tick(boolean caughtUp) {
        resolver.tick(caughtUp);
    }

    /**
     * True if it is known of every dependency of the job, direct or transitive, whether it is cancelled. Otherwise the
     * missing results are read with precedence, and the caller asks again later.
     */
    public boolean areDependenciesResolved(String job) {
        return resolver.isResolved(job);
    }

    /** True if the job is cancelled, by its own user or through a dependency. */
    public boolean isCancelled(JobEntry job) {
        return job.isCancelled() || graph.hasFailed(job.id());
    }

    /** True if a dependent of the job has a record in which its cancellation is not durable yet. */
    public boolean hasUncancelledDependents(String job) {
        for (String id : graph.dependents(job)) {
            JobEntry dependent = replica.activeJob(id);
            if (dependent != null && !dependent.isCancelled()) {
                return true;
            }
        }
        return false;
    }
}
