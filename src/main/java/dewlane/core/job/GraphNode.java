package dewlane.core.job;

import dewlane.core.job.DependencyGraph.Result;

/** A job in the {@link DependencyGraph}: one that was added, or that is only named as a dependency of others. */
final class GraphNode {
    private final String id;
    private final DependentList dependents = new DependentList();
    private Result result;
    /** Null if the job was not added. */
    private DependentJob job;

    GraphNode(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    /** Returns the job's result, or null if it has none yet. */
    Result result() {
        return result;
    }

    void setResult(Result value) {
        result = value;
    }

    /** Returns the job with its dependencies, or null if it was not added. */
    DependentJob job() {
        return job;
    }

    void setJob(DependentJob value) {
        job = value;
    }

    /** Returns the jobs that depend on this one. */
    DependentList dependents() {
        return dependents;
    }
}
