package dewlane.core.job;

import dewlane.core.model.JobIds;

/**
 * A job that was added to the {@link DependencyGraph}, with the ids of its dependencies. A job that is added again
 * after it was removed has a new instance.
 */
final class DependentJob {
    private final GraphNode node;
    private final JobIds dependencies;
    private int unsatisfiedCount;
    private boolean removed;

    DependentJob(GraphNode node, JobIds dependencies) {
        this.node = node;
        this.dependencies = dependencies;
    }

    GraphNode node() {
        return node;
    }

    /** Returns the ids of all dependencies, with or without a result. */
    JobIds dependencies() {
        return dependencies;
    }

    /** Called for each dependency that has no result yet, when the job is added. */
    void addUnsatisfied() {
        unsatisfiedCount++;
    }

    /** Called when a dependency is done that had no result before. */
    void onDependencyDone() {
        unsatisfiedCount--;
    }

    /** Returns true if the job has no result, and every dependency is done. */
    boolean isReady() {
        return unsatisfiedCount == 0 && node.result() == null;
    }

    boolean isRemoved() {
        return removed;
    }

    void markRemoved() {
        removed = true;
    }
}
