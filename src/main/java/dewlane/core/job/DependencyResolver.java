package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.StoreReplica;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Reads from the store the results of dependencies for which the replica holds neither a record nor a result. Such a
 * dependency has either ended, or its record is temporarily missing while the replica loads a listing of the store. Its
 * dependents stay pending until its result is read.
 *
 * <p>A result that was read is added to the replica, which notifies the {@link DependencyTracker}.
 */
final class DependencyResolver {
    private static final int MAX_READS_IN_FLIGHT = 4;
    /** The time for which no read is started after a read that failed or found no result. */
    private static final long READ_BACKOFF_MS = 500;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final UndecidedJobs undecided;
    private final JobResultReader resultReader;
    private final Set<String> unresolved = new LinkedHashSet<>();
    /** The unresolved jobs that a user's request is waiting for. They are read before the others. */
    private final Set<String> urgent = new LinkedHashSet<>();

    private final Set<String> inFlight = new HashSet<>();
    private long backoffUntilMs = ControllerContext.NEVER_MS;

    DependencyResolver(
            ControllerContext context, StoreReplica replica, DependencyGraph graph, JobResultReader resultReader) {
        this.context = context;
        this.replica = replica;
        this.undecided = new UndecidedJobs(replica, graph);
        this.resultReader = resultReader;
    }

    /** Called when the replica holds neither a record nor a result of a dependency. {@link #tick} reads the result. */
    void onMissing(String job) {
        unresolved.add(job);
        undecided.invalidate();
    }

    /** Called when the replica holds a record of the job. The job's result will then arrive through the replica. */
    void onRecordFound(String job) {
        unresolved.remove(job);
        undecided.invalidate();
    }

    /** Stops reading the job's result, because it was found or because no job depends on it any more. */
    void stopResolving(String job) {
        unresolved.remove(job);
        urgent.remove(job);
        undecided.invalidate();
    }

    /**
     * Starts reads of missing results. Called periodically.
     *
     * @param caughtUp whether the replica is a consistent snapshot of the store; if not, nothing is read
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

    /** Called when jobs were added to the graph or removed from it, or when one of them has a result. */
    void onGraphChanged() {
        undecided.invalidate();
    }

    /**
     * Returns true if no result of a direct or transitive dependency is missing, so that it is certain whether the job
     * is cancelled through a dependency. Otherwise the missing results are read before all others.
     */
    boolean areDependenciesResolved(String job) {
        if (unresolved.isEmpty()) {
            return true;
        }
        undecided.update(unresolved);
        if (!undecided.contains(job)) {
            return true;
        }
        urgent.addAll(undecided.missingFor(job));
        return false;
    }

    private final class ResultListener implements JobResultReader.Listener {
        private final String job;

        ResultListener(String job) {
            this.job = job;
        }

        @Override
        public void onFound(JobResult result) {
            // The reader has added the result to the replica, which notifies the tracker.
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
