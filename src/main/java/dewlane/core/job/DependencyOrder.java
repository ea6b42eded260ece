package dewlane.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** Topological order of jobs, by a depth-first search that keeps its path on the heap instead of the call stack. */
final class DependencyOrder {
    /** A job on the path of the search, with its dependencies that have not been visited yet. */
    private record Visit(String job, Iterator<String> dependencies) {}

    private DependencyOrder() {}

    /**
     * Returns the given jobs and all jobs that they depend on, directly or transitively. Each job follows all of its
     * dependents that are returned, provided that no job depends on itself.
     *
     * @param dependencies returns the direct dependencies of a job
     * @param isIncluded selects the jobs to return; dependencies are not followed through others
     */
    static List<String> dependentsFirst(
            Collection<String> jobs, Function<String, Collection<String>> dependencies, Predicate<String> isIncluded) {
        List<String> dependenciesFirst = new ArrayList<>();
        Set<String> visited = new HashSet<>();
        Deque<Visit> path = new ArrayDeque<>();
        path.push(new Visit(null, jobs.iterator()));
        while (!path.isEmpty()) {
            Visit visit = path.peek();
            if (!visit.dependencies().hasNext()) {
                path.pop();
                dependenciesFirst.add(visit.job());
                continue;
            }
            String next = visit.dependencies().next();
            if (isIncluded.test(next) && visited.add(next)) {
                path.push(new Visit(next, dependencies.apply(next).iterator()));
            }
        }
        // The first visit is that of the given jobs and stands for no job itself.
        dependenciesFirst.remove(dependenciesFirst.size() - 1);
        Collections.reverse(dependenciesFirst);
        return dependenciesFirst;
    }
}
