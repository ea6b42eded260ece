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
 * The dependency graph of jobs, and the only way for a job to become ready: once none of its dependencies is
 * unsatisfied. The first result of a job counts, and satisfies its dependents once; later copies change nothing. A
 * failure passes to all dependents, direct and transitive.
 *
 * <p>Collections that are returned are live views in a fixed order; callers neither change nor keep them.
 */
public final class DependencyGraph {
    /** How a job ended. */
    public enum Result {
        /** All tasks are done, so dependents may start. */
        DONE,
        /** The job will never be done, so neither will its dependents. */
        FAILED
    }

    private static final class Node {
        /** Every dependency named when the job was added. */
        private final Set<String> allDependencies = new LinkedHashSet<>();
        /** The dependencies that have no result yet. */
        private final Set<String> unsatisfied = new LinkedHashSet<>();

        private final Set<String> dependents = new LinkedHashSet<>();
        private Result result;
        /** False while the job is only named by its dependents, or has only a result. */
        private boolean added;
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final Set<String> ready = new LinkedHashSet<>();
    private final Set<String> failed = new LinkedHashSet<>();

    /**
     * Adds a job with its dependencies, which may be added later. Adding it again changes nothing.
     *
     * @return the jobs that fail with it, itself first and then its dependents, if a dependency has failed; else none
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

    /** Makes a job depend on another, whose result is returned, or null if it has none yet. */
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
     * Records a job's result, of which only the first counts.
     *
     * @return the dependents, direct and transitive, that fail with it
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

    /** Removes an ended job. Its result is kept for as long as other jobs in the graph depend on it. */
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

    /** The ready jobs, in the order in which they became ready. */
    public Collection<String> ready() {
        return ready;
    }

    /** The jobs that failed, by themselves or through a dependency, and are not forgotten yet. */
    public Collection<String> failed() {
        return failed;
    }

    /** True if the job has no unsatisfied dependency, and no result yet. */
    public boolean isReady(String id) {
        return ready.contains(id);
    }

    /** True if the job failed, by itself or through a dependency. */
    public boolean hasFailed(String id) {
        return failed.contains(id);
    }

    /** The unsatisfied dependencies of the job: those that have no result yet. */
    public Collection<String> unsatisfiedDependencies(String id) {
        Node node = nodes.get(id);
        return node == null ? List.of() : node.unsatisfied;
    }

    /** All dependencies of the job, satisfied or not. */
    public Collection<String> allDependencies(String id) {
        Node node = nodes.get(id);
        return node == null ? List.of() : node.allDependencies;
    }

    /** The direct dependents of the job that are in the graph. */
    public Collection<String> dependents(String id) {
        Node node = nodes.get(id);
        return node == null ? List.of() : node.dependents;
    }

    /** True if the job was added and not forgotten. */
    public boolean contains(String id) {
        Node node = nodes.get(id);
        return node != null && node.added;
    }
}
