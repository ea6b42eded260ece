package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.StoreReplica;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Looks up the results of dependencies of which the replica holds neither a record nor a result. Such a job has ended,
 * or its record is just missing from a listing; until its result is known, its dependents stay pending.
 *
 * <p>A result that is found reaches the {@link DependencyTracker} through the replica.
 */
final class DependencyResolver {
    private static final int MAX_READS_IN_FLIGHT = 4;
    /** Backoff after a read that found no result. */
    private static final long READ_BACKOFF_MS = 500;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final DependencyGraph graph;
    private final JobResultReader resultReader;
    private final Set<String> unresolved = new LinkedHashSet<>();
    /** Those unresolved jobs on which the answer to a user depends: they are read first. */
    private final Set<String> urgent = new LinkedHashSet<>();

    private final Set<String> inFlight = new HashSet<>();
    private long backoffUntilMs = ControllerContext.NEVER_MS;

    DependencyResolver(
            ControllerContext context, StoreReplica replica, DependencyGraph graph, JobResultReader resultReader) {
        this.context = context;
        this.replica = replica;
        this.graph = graph;
        this.resultReader = resultReader;
    }

    /** Neither a record nor a result of the job is known: its result is to be read. */
    void onMissing(String job) {
        unresolved.add(job);
    }

    /** The job has a record, so it is followed from there. */
    void onRecordFound(String job) {
        unresolved.remove(job);
    }

    /** The job's result is known, or nobody depends on it any more. */
    void stopResolving(String job) {
        unresolved.remove(job);
        urgent.remove(job);
    }

    /**
     * Begins reads of unresolved results. Called regularly.
     *
     * @param caughtUp whether the replica holds all that is known to be durable; without that nothing is read
     */
    void tick(boolean caughtUp) {
        if (!caughtUp || unresolved.isEmpty() || context.nowMs() < backoffUntilMs) {
            return;
        }
        urgent.retainAll(unresolved);
        Iterator<String> candidates = (urgent.isEmpty() ? unresolved : urgent).iterator();
        while (candidates.hasNext() && inFlight.size() < MAX_READS_IN_FLIGHT) {
            String job = candidates.next();
            if (replica.activeJob(job) != null || replica.isUnreadable(job)) {
                continue;
            }
            if (!inFlight.contains(job) && !resultReader.read(job, new ResultListener(job))) {
                return;
            }
            inFlight.add(job);
        }
    }

    /**
     * True if no dependency of the job, direct or transitive, is unresolved, so that it is known whether the job is
     * cancelled through one. Otherwise the unresolved ones are read before others.
     */
    boolean isResolved(String job) {
        if (unresolved.isEmpty()) {
            return true;
        }
        boolean resolved = true;
        Set<String> visited = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(graph.unsatisfiedDependencies(job));
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (!visited.add(id)) {
                continue;
            }
            if (unresolved.contains(id) && replica.activeJob(id) == null) {
                urgent.add(id);
                resolved = false;
            }
            queue.addAll(graph.unsatisfiedDependencies(id));
        }
        return resolved;
    }

    private final class ResultListener implements JobResultReader.Listener {
        private final String job;

        ResultListener(String job) {
            this.job = job;
        }

        @Override
        public void onFound(JobResult result) {
            // The reader has put the result into the replica, whose listeners include the tracker.
            inFlight.remove(job);
        }

        @Override
        public void onAbsent() {
            backOff();
            if (unresolved.contains(job) && replica.activeJob(job) == null) {
                context.info("job " + job + " is a dependency, but has neither a record nor a result");
            }
        }

        @Override
        public void onUnavailable() {
            backOff();
        }

        private void backOff() {
            inFlight.remove(job);
            backoffUntilMs = context.nowMs() + READ_BACKOFF_MS;
        }
    }
}
