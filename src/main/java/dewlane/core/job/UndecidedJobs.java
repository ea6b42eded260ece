package dewlane.core.job;

import dewlane.core.store.StoreReplica;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The jobs that may be cancelled through a dependency whose result is missing. They are determined once for all
 * questions between two changes, as users may ask about each job of a long pipeline within a second.
 */
final class UndecidedJobs {
    private final StoreReplica replica;
    private final DependencyGraph graph;
    /** The jobs whose results are missing. */
    private final Set<String> missing = new HashSet<>();
    /** The jobs that depend on them, directly or transitively. */
    private final Set<String> jobs = new HashSet<>();
    /** The jobs whose dependencies {@link #missingFor} has already searched. */
    private final Set<String> searched = new HashSet<>();

    private boolean outdated = true;

    UndecidedJobs(StoreReplica replica, DependencyGraph graph) {
        this.replica = replica;
        this.graph = graph;
    }

    /** Called when the graph or the missing results have changed. */
    void invalidate() {
        outdated = true;
    }

    /**
     * Determines the undecided jobs, unless nothing has changed.
     *
     * @param unresolved the jobs whose results are missing unless the replica holds their records
     */
    void update(Collection<String> unresolved) {
        if (!outdated) {
            return;
        }
        outdated = false;
        missing.clear();
        jobs.clear();
        searched.clear();
        for (String id : unresolved) {
            if (replica.activeJob(id) == null) {
                missing.add(id);
            }
        }
        Deque<String> queue = new ArrayDeque<>(missing);
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (graph.hasResult(id)) {
                continue;
            }
            for (String dependent : graph.dependents(id)) {
                if (jobs.add(dependent)) {
                    queue.add(dependent);
                }
            }
        }
    }

    /** Returns true if the job depends, directly or transitively, on one whose result is missing. */
    boolean contains(String job) {
        return jobs.contains(job);
    }

    /**
     * Returns the jobs with missing results that the job depends on, directly or transitively, without those that were
     * returned since the last change.
     */
    List<String> missingFor(String job) {
        List<String> found = new ArrayList<>();
        Deque<String> queue = new ArrayDeque<>(List.of(job));
        while (!queue.isEmpty()) {
            for (String id : graph.unsatisfiedDependencies(queue.poll())) {
                if (!searched.add(id)) {
                    continue;
                }
                if (missing.contains(id)) {
                    found.add(id);
                }
                queue.add(id);
            }
        }
        return found;
    }
}
