package dewlane.core.job;

import dewlane.core.model.JobIds;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The dependency graph of jobs. It alone decides when a job is ready: once it has no unsatisfied dependency. Only the
 * first result of a job counts; it satisfies or fails the dependents once, and later results are ignored. A failure
 * fails all dependents, direct and transitive.
 *
 * <p>Returned collections are live views with a deterministic order. Callers must neither modify nor keep them.
 */
public final class DependencyGraph {
    /** The result of a job. */
    public enum Result {
        /** All tasks are done, so dependents may start. */
        DONE,
        /** The job will never be done, so its dependents fail, too. */
        FAILED
    }

    private final Map<String, GraphNode> nodes = new HashMap<>();
    private final Set<String> ready = new LinkedHashSet<>();
    private final Set<String> failed = new LinkedHashSet<>();

    /**
     * Adds a job. Its dependencies may be added later. Adding a job again has no effect.
     *
     * @return if a dependency has failed, the jobs that fail now: the job itself, followed by its dependents; else none
     */
    public List<String> add(String id, Collection<String> dependencies) {
        GraphNode node = nodeOf(id);
        if (node.job() != null) {
            return List.of();
        }
        DependentJob job = new DependentJob(node, JobIds.of(dependencies));
        node.setJob(job);
        boolean dependencyFailed = false;
        for (String dependency : dependencies) {
            dependencyFailed |= link(job, nodeOf(dependency)) == Result.FAILED;
        }
        if (node.result() == Result.FAILED) {
            failed.add(id);
        } else if (dependencyFailed) {
            List<String> failedJobs = new ArrayList<>(List.of(id));
            failedJobs.addAll(recordResult(id, Result.FAILED));
            return failedJobs;
        } else if (job.isReady()) {
            ready.add(id);
        }
        return List.of();
    }

    /** Adds an edge to the dependency, and returns the result of the dependency, or null if it has none yet. */
    private static Result link(DependentJob job, GraphNode dependency) {
        dependency.dependents().add(job);
        if (dependency.result() == null) {
            job.addUnsatisfied();
        }
        return dependency.result();
    }

    private GraphNode nodeOf(String id) {
        return nodes.computeIfAbsent(id, GraphNode::new);
    }

    /**
     * Records a job's result. Has no effect if the job has a result already.
     *
     * @return the dependents, direct and transitive, that fail because the job failed
     */
    public List<String> recordResult(String id, Result result) {
        List<String> failedDependents = new ArrayList<>();
        GraphNode first = nodeOf(id);
        Deque<GraphNode> queue = new ArrayDeque<>(List.of(first));
        while (!queue.isEmpty()) {
            GraphNode node = queue.poll();
            if (node.result() != null) {
                continue;
            }
            node.setResult(result);
            ready.remove(node.id());
            if (node != first) {
                failedDependents.add(node.id());
            }
            if (result == Result.DONE) {
                node.dependents().forEach(this::onDependencyDone);
                continue;
            }
            if (node.job() != null) {
                failed.add(node.id());
            }
            node.dependents().forEach(dependent -> queue.add(dependent.node()));
        }
        return failedDependents;
    }

    private void onDependencyDone(DependentJob dependent) {
        dependent.onDependencyDone();
        if (dependent.isReady()) {
            ready.add(dependent.node().id());
        }
    }

    /** Removes an ended job. Its result is kept until no other job in the graph depends on it. */
    public void remove(String id) {
        ready.remove(id);
        failed.remove(id);
        GraphNode node = nodes.get(id);
        if (node == null) {
            return;
        }
        DependentJob job = node.job();
        if (job != null) {
            node.setJob(null);
            job.markRemoved();
            for (String dependency : job.dependencies()) {
                unlink(nodes.get(dependency));
            }
        }
        removeIfUnused(node);
    }

    private void unlink(GraphNode dependency) {
        // A dependency that the job names twice may be removed already.
        if (dependency != null) {
            dependency.dependents().onRemoved();
            removeIfUnused(dependency);
        }
    }

    private void removeIfUnused(GraphNode node) {
        if (node.job() == null && node.dependents().isEmpty()) {
            nodes.remove(node.id());
        }
    }

    /** Returns the ready jobs, in the order in which they became ready. */
    public Collection<String> ready() {
        return ready;
    }

    /** Returns the failed jobs that were not removed, whether they failed themselves or through a dependency. */
    public Collection<String> failed() {
        return failed;
    }

    /** Returns true if the job was added, has no unsatisfied dependency, and has no result yet. */
    public boolean isReady(String id) {
        return ready.contains(id);
    }

    /** Returns true if the job failed, itself or through a dependency. */
    public boolean hasFailed(String id) {
        return failed.contains(id);
    }

    /** Returns true if the job has a result, whether it was added or only named as a dependency of others. */
    public boolean hasResult(String id) {
        GraphNode node = nodes.get(id);
        return node != null && node.result() != null;
    }

    /** Returns the direct dependencies of the job that have no result yet. */
    public Collection<String> unsatisfiedDependencies(String id) {
        return dependencies(id, node -> node.result() == null);
    }

    /** Returns all direct dependencies of the job, with or without a result. */
    public Collection<String> allDependencies(String id) {
        return dependencies(id, node -> true);
    }

    private Collection<String> dependencies(String id, Predicate<GraphNode> isIncluded) {
        GraphNode node = nodes.get(id);
        boolean hasNone = node == null || node.job() == null;
        return hasNone ? List.of() : new IdView<>(node.job().dependencies(), nodes::get, isIncluded);
    }

    /** Returns the direct dependents of the job that are in the graph. */
    public Collection<String> dependents(String id) {
        GraphNode node = nodes.get(id);
        return node == null ? List.of() : new IdView<>(node.dependents(), DependentJob::node, dependent -> true);
    }

    /** Returns true if a job in the graph depends on the given one directly. */
    public boolean hasDependents(String id) {
        GraphNode node = nodes.get(id);
        return node != null && !node.dependents().isEmpty();
    }

    /** Returns true if the job was added and not removed since. */
    public boolean contains(String id) {
        GraphNode node = nodes.get(id);
        return node != null && node.job() != null;
    }

    /** Returns the number of jobs that were added or that are named as a dependency of one that was added. */
    public int jobCount() {
        return nodes.size();
    }
}
