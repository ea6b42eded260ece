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
 * Updates the {@link DependencyGraph} from the durable records and results of jobs in the replica, and determines
 * whether a job is cancelled through its dependencies. {@link DependencyResolver} reads results of dependencies that
 * the replica lacks; {@link UrgencyInheritance} propagates priorities and deadlines to dependencies.
 */
public final class DependencyTracker {
    private final StoreReplica replica;
    private final DependencyGraph graph;
    private final DependencyResolver resolver;
    private final UrgencyInheritance urgency;
    private final DependencyEventLog eventLog;

    /** Creates a tracker that adds the jobs of the replica to the graph. Only the tracker may modify the graph. */
    public DependencyTracker(
            ControllerContext context, StoreReplica replica, DependencyGraph graph, JobResultReader resultReader) {
        this.replica = replica;
        this.graph = graph;
        this.resolver = new DependencyResolver(context, replica, graph, resultReader);
        this.urgency = new UrgencyInheritance(replica, graph);
        this.eventLog = new DependencyEventLog(context, replica);
    }

    /** Updates the graph after a change of a job's record or result. */
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
        List<String> failed = graph.add(job.id(), job.job().dependencies());
        resolver.onGraphChanged();
        urgency.markChanged(job.id());
        failed.forEach(this::markDependenciesChanged);
        // The graph's ids are used, as each iteration over the record's decodes them anew.
        graph.allDependencies(job.id()).forEach(this::onDependency);
        eventLog.logCancelled(failed, job.id());
        if (!job.job().dependencies().isEmpty() && !graph.isReady(job.id()) && !graph.hasFailed(job.id())) {
            eventLog.logWaiting(job.id(), graph.unsatisfiedDependencies(job.id()));
        }
    }

    private void onDependency(String id) {
        JobResult result = replica.cachedResult(id);
        if (replica.activeJob(id) != null) {
            urgency.markChanged(id);
        } else if (result != null) {
            onEnded(id, result);
        } else {
            resolver.onMissing(id);
        }
    }

    /** A removed record alone does not mean that the job has ended: loading a listing removes all records first. */
    private void onRecordRemoved(String id) {
        JobResult result = replica.cachedResult(id);
        if (result != null) {
            onEnded(id, result);
        } else if (graph.hasDependents(id) && !graph.hasFailed(id)) {
            resolver.onMissing(id);
        }
        List<String> dependencies = List.copyOf(graph.allDependencies(id));
        graph.remove(id);
        resolver.onGraphChanged();
        dependencies.forEach(urgency::markChanged);
        dependencies.forEach(this::stopResolvingIfUnneeded);
    }

    private void stopResolvingIfUnneeded(String id) {
        if (!graph.hasDependents(id)) {
            resolver.stopResolving(id);
        }
    }

    private void onEnded(String id, JobResult result) {
        resolver.stopResolving(id);
        if (!graph.contains(id) && !graph.hasDependents(id)) {
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
        resolver.onGraphChanged();
        for (String dependent : waiting) {
            if (graph.isReady(dependent)) {
                eventLog.logReady(dependent, id);
            }
        }
    }

    private void fail(String id) {
        List<String> failedDependents = graph.recordResult(id, Result.FAILED);
        resolver.onGraphChanged();
        eventLog.logCancelled(failedDependents, id);
        markDependenciesChanged(id);
        failedDependents.forEach(this::markDependenciesChanged);
    }

    private void markDependenciesChanged(String job) {
        graph.allDependencies(job).forEach(urgency::markChanged);
    }

    /**
     * Propagates the priorities and deadlines of new, failed and removed jobs to the jobs that they depend on. Until
     * this is called, jobs keep the priorities and deadlines that they had before.
     */
    public void propagateUrgency() {
        urgency.propagate();
    }

    /**
     * Starts reads of results of dependencies that are missing from the replica. Called periodically.
     *
     * @param caughtUp whether the replica is a consistent snapshot of the store; if not, nothing is read
     */
    public void tick(boolean caughtUp) {
        resolver.tick(caughtUp);
    }

    /**
     * Returns true if no result of a direct or transitive dependency is missing, so that it is certain whether the job
     * is cancelled through a dependency. Otherwise the missing results are read before all others, and the caller has
     * to call again later.
     */
    public boolean areDependenciesResolved(String job) {
        return resolver.areDependenciesResolved(job);
    }

    /** Returns true if the job is cancelled, by its own user or through a dependency. */
    public boolean isCancelled(JobEntry job) {
        return job.isCancelled() || graph.hasFailed(job.id());
    }

    /** Returns true if a direct dependent of the job has a record that is not marked as cancelled yet. */
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
