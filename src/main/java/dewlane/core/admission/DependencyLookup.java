package dewlane.core.admission;

import dewlane.core.job.DependencyTracker;
import dewlane.core.model.JobIds;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks for a submission whether its dependencies were accepted, and which of them have ended. */
public final class DependencyLookup {
    /** Receives exactly one call with the result of a lookup. */
    interface Listener {
        /**
         * Called if all dependencies were accepted.
         *
         * @param pending the dependencies that are not done, as far as this controller has observed
         * @param cancelled whether one of them is cancelled
         */
        void onFound(List<String> pending, boolean cancelled);

        /** Called if a dependency was never accepted. */
        void onNeverAccepted(String dependency);

        /** Called if a stored value of a dependency cannot be read. */
        void onUnreadable(String dependency);

        /** Called if the request rate allows no more reads. Results read so far are cached, so a retry needs fewer. */
        void onReadRateExceeded();

        /** Called if the store did not answer. */
        void onUnavailable();
    }

    private final StoreReplica replica;
    private final DependencyTracker tracker;
    private final ReadBarrier barrier;
    private final JobResultReader resultReader;

    /** Creates a lookup that searches the replica, and then the store through the reader. */
    public DependencyLookup(
            StoreReplica replica, DependencyTracker tracker, ReadBarrier barrier, JobResultReader resultReader) {
        this.replica = replica;
        this.tracker = tracker;
        this.barrier = barrier;
        this.resultReader = resultReader;
    }

    /** Looks up the dependencies. The listener is called immediately if the replica suffices, otherwise later. */
    void lookUp(JobIds dependencies, Listener listener) {
        Lookup lookup = new Lookup(dependencies, listener);
        if (lookup.unknown().isEmpty()) {
            lookup.complete();
        } else {
            // Another controller may have accepted a dependency that the replica does not show yet.
            barrier.await(lookup::readNext, listener::onUnavailable);
        }
    }

    /** The lookup of the dependencies of one submission, with the results that were read so far. */
    private final class Lookup implements JobResultReader.Listener {
        private final JobIds dependencies;
        private final Listener listener;
        private final Map<String, JobResult> resultsRead = new HashMap<>();
        private String currentRead;

        Lookup(JobIds dependencies, Listener listener) {
            this.dependencies = dependencies;
            this.listener = listener;
        }

        /** Returns the dependencies that neither the replica nor a read has shown to be accepted. */
        List<String> unknown() {
            return dependencies.stream()
                    .filter(id -> replica.activeJob(id) == null && resultOf(id) == null)
                    .toList();
        }

        /** Returns the result of a dependency, or null if neither the replica nor a read has shown one. */
        private JobResult resultOf(String id) {
            JobResult cached = replica.cachedResult(id);
            return cached == null ? resultsRead.get(id) : cached;
        }

        /**
         * Reads the result of the next unknown dependency. The replica is current and so holds every accepted job that
         * has not ended; a job that it lacks either has a result or was never accepted.
         */
        void readNext() {
            List<String> unknown = unknown();
            if (unknown.isEmpty()) {
                complete();
                return;
            }
            currentRead = unknown.get(0);
            if (replica.isUnreadable(currentRead)) {
                listener.onUnreadable(currentRead);
            } else if (!resultReader.read(currentRead, this)) {
                listener.onReadRateExceeded();
            }
        }

        void complete() {
            List<String> pending =
                    dependencies.stream().filter(id -> !isDone(id)).toList();
            listener.onFound(pending, pending.stream().anyMatch(this::isCancelled));
        }

        private boolean isDone(String id) {
            JobResult result = resultOf(id);
            return result != null && !result.cancelled();
        }

        private boolean isCancelled(String id) {
            JobResult result = resultOf(id);
            JobEntry entry = replica.activeJob(id);
            return (result != null && result.cancelled()) || (entry != null && tracker.isCancelled(entry));
        }

        @Override
        public void onFound(JobResult result) {
            resultsRead.put(currentRead, result);
            readNext();
        }

        @Override
        public void onAbsent() {
            listener.onNeverAccepted(currentRead);
        }

        @Override
        public void onUnavailable() {
            listener.onUnavailable();
        }
    }
}
