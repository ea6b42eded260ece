package dewlane.core.admission;

import dewlane.core.job.DependencyTracker;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds out for a submission whether its dependencies were accepted, and which of them have ended. */
public final class DependencyLookup {
    /** Learns by exactly one call what a lookup found. */
    interface Listener {
        /**
         * All dependencies were accepted.
         *
         * @param pending those that are not known to be done
         * @param cancelled whether one of them is cancelled
         */
        void found(List<String> pending, boolean cancelled);

        /** A dependency was never accepted. */
        void neverAccepted(String dependency);

        /** What is stored of a dependency cannot be read. */
        void unreadable(String dependency);

        /** More reads than the request rate allows. What was read is remembered, so a repetition has less to read. */
        void tooManyReads();

        /** The store does not answer. */
        void unavailable();
    }

    private final StoreReplica replica;
    private final DependencyTracker tracker;
    private final ReadBarrier barrier;
    private final JobResultReader resultReader;

    /** Looks dependencies up in the replica, and in the store by the reader. */
    public DependencyLookup(
            StoreReplica replica, DependencyTracker tracker, ReadBarrier barrier, JobResultReader resultReader) {
        this.replica = replica;
        this.tracker = tracker;
        this.barrier = barrier;
        this.resultReader = resultReader;
    }

    /** Looks the dependencies up, and calls the listener now, or once the store has answered. */
    void lookUp(List<String> dependencies, Listener listener) {
        Lookup lookup = new Lookup(dependencies, listener);
        if (lookup.unknown().isEmpty()) {
            lookup.complete();
        } else {
            // Another controller may have accepted a dependency a moment ago.
            barrier.await(lookup::readNext, listener::unavailable);
        }
    }

    /** The dependencies of one submission, with the results that were read for them so far. */
    private final class Lookup implements JobResultReader.Listener {
        private final List<String> dependencies;
        private final Listener listener;
        private final Map<String, JobResult> resultsRead = new HashMap<>();
        private String reading;

        Lookup(List<String> dependencies, Listener listener) {
            this.dependencies = dependencies;
            this.listener = listener;
        }

        /** The dependencies of which neither the replica nor a read says that they were accepted. */
        List<String> unknown() {
            return dependencies.stream()
                    .filter(id -> replica.activeJob(id) == null && resultOf(id) == null)
                    .toList();
        }

        /** The result of a dependency, or null if it is not known. */
        private JobResult resultOf(String id) {
            JobResult known = replica.result(id);
            return known == null ? resultsRead.get(id) : known;
        }

        /** The replica holds every accepted job that has not ended; any other has a result, or was never accepted. */
        void readNext() {
            List<String> unknown = unknown();
            if (unknown.isEmpty()) {
                complete();
                return;
            }
            reading = unknown.get(0);
            if (replica.isUnreadable(reading)) {
                listener.unreadable(reading);
            } else if (!resultReader.read(reading, this)) {
                listener.tooManyReads();
            }
        }

        void complete() {
            List<String> pending =
                    dependencies.stream().filter(id -> !isDone(id)).toList();
            listener.found(pending, pending.stream().anyMatch(this::isCancelled));
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
            resultsRead.put(reading, result);
            readNext();
        }

        @Override
        public void onAbsent() {
            listener.neverAccepted(reading);
        }

        @Override
        public void onUnavailable() {
            listener.unavailable();
        }
    }
}
