package dewlane.core.admission;

import dewlane.core.job.DependencyTracker;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreReplica;
import java.util.function.Consumer;

/**
 * Finds the job of a user's request in the replica, or among the stored results of jobs that have ended. Answers the
 * request itself if the job is not active.
 *
 * <p>A result is final and is returned as soon as this controller holds it. Any other state is returned only after a
 * {@link ReadBarrier}, so that no controller returns a state older than one that another controller has returned.
 */
public final class JobLookup {
    private final StoreReplica replica;
    private final DependencyTracker dependencies;
    private final ReadBarrier barrier;
    private final JobResultReader resultReader;
    private final UserResponses responses;

    /** Creates a lookup that searches the replica, and then the store through the reader. */
    public JobLookup(
            StoreReplica replica,
            DependencyTracker dependencies,
            ReadBarrier barrier,
            JobResultReader resultReader,
            UserResponses responses) {
        this.replica = replica;
        this.dependencies = dependencies;
        this.barrier = barrier;
        this.resultReader = resultReader;
        this.responses = responses;
    }

    /** Returns true if the replica holds anything of the job: its record, a slice or its result. */
    boolean isInReplica(String job) {
        return replica.job(job) != null || replica.result(job) != null;
    }

    /** Returns true if the replica holds the job's record. */
    boolean hasRecord(String job) {
        return replica.activeJob(job) != null;
    }

    /** Returns the job's result if the replica holds it, else null. Null does not mean that the job has no result. */
    JobResult cachedResult(String job) {
        return replica.result(job);
    }

    /** Runs {@code proceed} once the replica holds all that is durable now, or {@code onUnavailable} if that fails. */
    void whenCurrent(Runnable proceed, Runnable onUnavailable) {
        barrier.await(proceed, onUnavailable);
    }

    /**
     * Answers the user from the replica as it is now, or from the job's stored result if the replica has neither a
     * record nor a result.
     *
     * @param onUnknown run instead of an answer if the job was never accepted
     * @param onActive called with the job instead of an answer if the job is neither ended nor cancelled
     */
    void answerUnlessActive(long requestId, String job, Runnable onUnknown, Consumer<JobEntry> onActive) {
        JobResult result = replica.result(job);
        JobEntry entry = replica.activeJob(job);
        if (result != null) {
            responses.result(requestId, job, result);
        } else if (replica.isUnreadable(job)) {
            responses.retryLater(requestId, "the job's state cannot be read, try again");
        } else if (entry == null) {
            // A job's record is deleted only after its result is stored, so the result tells whether the job existed.
            answerFromStore(requestId, job, onUnknown);
        } else if (dependencies.isCancelled(entry)) {
            responses.cancelled(requestId, job);
        } else {
            onActive.accept(entry);
        }
    }

    private void answerFromStore(long requestId, String job, Runnable onUnknown) {
        boolean sent = resultReader.read(job, new JobResultReader.Listener() {
            @Override
            public void onFound(JobResult result) {
                responses.result(requestId, job, result);
            }

            @Override
            public void onAbsent() {
                onUnknown.run();
            }

            @Override
            public void onUnavailable() {
                responses.unavailable(requestId);
            }
        });
        if (!sent) {
            responses.tooManyReads(requestId);
        }
    }
}
