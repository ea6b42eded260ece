package dewlane.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

    private static final class Node {
        /** All dependencies that were given when the job was added. */
        private final Set<String> allDependencies = new LinkedHashSet<>();
        /** The dependencies that have no result yet. */
        private final Set<String> unsatisfied = new LinkedHashSet<>();

        private final Set<String> dependents = new LinkedHashSet<>();
        private Result result;
        /** False if the job was only named as a dependency of others, or only its result was recorded. */
        private boolean added;
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final Set<String> ready = new LinkedHashSet<>();
    private final Set<String> failed = new LinkedHashSet<>();

    /**
     * Adds a job. Its dependencies may be added later. Adding a job again has no effect.
     *
     * @return if a dependency has failed, the jobs that fail now: the job itself, followed by its dependents; else none
     */
    public List<String> add(String id, Collection<String> dependencies) {
        Node node = nodeOf(id);
        if (node.added) {
            return List.of();
        }
        node.added = true;
        boolean dependencyFailed = false;
        for (String dependency : dependencies) {
            dependencyFailed |= link(id, node, dependency) == Result.FAILED;
        }
        if (node.result == Result.FAILED) {
            failed.add(id);
        } else if (dependencyFailed) {
            List<String> failedJobs = new ArrayList<>(List.of(id));
            failedJobs.addAll(recordResult(id, Result.FAILED));
            return failedJobs;
        } else if (node.result == null && node.unsatisfied.isEmpty()) {
            ready.add(id);
        }
        return List.of();
    }

    /** Adds an edge to the dependency, and returns the result of the dependency, or null if it has none yet. */
    private Result link(String id, Node node, String dependency) {
        Node dependencyNode = nodeOf(dependency);
        node.allDependencies.add(dependency);
        dependencyNode.dependents.add(id);
        if (dependencyNode.result == null) {
            node.unsatisfied.add(dependency);
        }
        return dependencyNode.result;
    }

    private Node nodeOf(String id) {
        return nodes.computeIfAbsent(id, newId -> new Node());
    }

    /**
     * Records a job's result. Has no effect if the job has a result already.
     *
     * @return the dependents, direct and transitive, that fail because the job failed
     */
    public List<String> recordResult(String id, Result result) {
        List<String> failedDependents = new ArrayList<>();
        Deque<String> queue = new ArrayDeque<>(List.of(id));
        while (!queue.isEmpty()) {
            String current = queue.poll();
            Node node = nodeOf(current);
            if (node.result != null) {
                continue;
            }
            node.result = result;
            ready.remove(current);
            if (!current.equals(id)) {
                failedDependents.add(current);
            }
            if (result == Result.FAILED) {
                if (node.added) {
                    failed.add(current);
                }
                queue.addAll(node.dependents);
            } else {
                node.dependents.forEach(dependent -> satisfy(current, dependent));
            }
        }
        return failedDependents;
    }

    private void satisfy(String dependency, String dependent) {
        Node node = nodes.get(dependent);
        if (node.unsatisfied.remove(dependency) && node.unsatisfied.isEmpty() && node.added && node.result == null) {
            ready.add(dependent);
        }
    }

    /** Removes an ended job. Its result is kept until no other job in the graph depends on it. */
    public void remove(String id) {
        ready.remove(id);
        failed.remove(id);
        Node node = nodes.get(id);
        if (node == null) {
            return;
        }
        for (String dependency : node.allDependencies) {
            Node dependencyNode = nodes.get(dependency);
            dependencyNode.dependents.remove(id);
            removeIfUnused(dependency, dependencyNode);
        }
        node.allDependencies.clear();
        node.unsatisfied.clear();
        node.added = false;
        removeIfUnused(id, node);
    }

    private void removeIfUnused(String id, Node node) {
        if (!node.added && node.dependents.isEmpty()) {
            nodes.remove(id);
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

    /** Returns the direct dependencies of the job that have no result yet. */
    public Collection<String> unsatisfiedDependencies(String id) {
        Node node = nodes.get(id);
        return node == null ? List.of() : node.unsatisfied;
    }

    /** Returns all direct dependencies of the job, with or without a result. */
    public Collection<String> allDependencies(String id) {
        Node node = nodes.get(id);
        return node == null ? List.of() : node.allDependencies;
    }

    /** Returns the direct dependents of the job that are in the graph. */
    public Collection<String> dependents(String id) {
        Node node = nodes.get(id);
        return node == null ? List.of() : node.dependents;
    }

    /** Returns true if the job was added and not removed since. */
    public boolean contains(String id) {
        Node node = nodes.get(id);
        return node != null && node.added;
    }
}
