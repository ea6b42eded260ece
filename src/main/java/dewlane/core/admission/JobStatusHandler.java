package dewlane.core.admission;

import dewlane.core.job.DependencyTracker;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.message.Input;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;

/** Answers status queries, and repeated submissions of jobs that are already accepted. */
public final class JobStatusHandler {
    private final JobLookup lookup;
    private final DependencyTracker dependencies;
    private final UserResponses responses;

    /** Creates a handler that answers with the job that the lookup finds. */
    public JobStatusHandler(JobLookup lookup, DependencyTracker dependencies, UserResponses responses) {
        this.lookup = lookup;
        this.dependencies = dependencies;
        this.responses = responses;
    }

    /** Answers a status query with the job's state, or with an error if there is no such job. */
    public void onGetStatus(Input.GetJobStatus request) {
        answer(request.id(), request.job(), () -> responses.notFound(request.id()));
    }

    /** Returns true if the replica holds anything of the job: its record, a slice or its result. */
    boolean isInReplica(String job) {
        return lookup.isInReplica(job);
    }

    /**
     * Answers with the job's state. If the store does not answer, the user is asked to retry.
     *
     * @param onUnknown run instead of an answer if the job was never accepted
     */
    void answer(long requestId, String job, Runnable onUnknown) {
        answer(requestId, job, onUnknown, () -> responses.unavailable(requestId));
    }

    /**
     * Answers with the job's state.
     *
     * @param onUnknown run instead of an answer if the job was never accepted
     * @param onUnavailable run instead of an answer if the store does not answer, so that the replica may be stale
     */
    void answer(long requestId, String job, Runnable onUnknown, Runnable onUnavailable) {
        JobResult result = lookup.cachedResult(job);
        if (result != null) {
            responses.result(requestId, job, result);
            return;
        }
        lookup.whenCurrent(
                () -> lookup.answerUnlessActive(requestId, job, onUnknown, entry -> answerActive(requestId, entry)),
                onUnavailable);
    }

    private void answerActive(long requestId, JobEntry job) {
        if (!dependencies.areDependenciesResolved(job.id())) {
            // A dependency whose result is not read yet may be cancelled, and the job with it.
            responses.retryLater(requestId, "looking up what the job awaits, try again");
            return;
        }
        int running = job.liveAttemptCount();
        JobCondition condition = running > 0 ? JobCondition.RUNNING : JobCondition.PENDING;
        responses.status(requestId, new JobStatus(job.id(), condition, job.doneCount(), running));
    }
}
