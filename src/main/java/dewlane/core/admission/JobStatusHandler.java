package dewlane.core.admission;

import dewlane.core.job.DependencyTracker;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.message.Input;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;

/** Answers status queries, and repeated submissions of jobs that were accepted before. */
public final class JobStatusHandler {
    private final JobLookup lookup;
    private final DependencyTracker dependencies;
    private final UserResponses responses;

    /** Answers with what the lookup finds. */
    public JobStatusHandler(JobLookup lookup, DependencyTracker dependencies, UserResponses responses) {
        this.lookup = lookup;
        this.dependencies = dependencies;
        this.responses = responses;
    }

    /** Answers a status query with the job's state, or that there is no such job. */
    public void onGetStatus(Input.GetJobStatus request) {
        answer(request.id(), request.job(), () -> responses.notFound(request.id()));
    }

    /** True if the replica holds anything of the job. */
    boolean isKnown(String job) {
        return lookup.isKnown(job);
    }

    /** As below; if the store does not answer, the user is asked to repeat the request. */
    void answer(long requestId, String job, Runnable onUnknown) {
        answer(requestId, job, onUnknown, () -> responses.unavailable(requestId));
    }

    /**
     * Answers with the job's state.
     *
     * @param onUnknown run in place of an answer if the job was never accepted
     * @param onUnavailable run in place of an answer if the store does not say what is durable
     */
    void answer(long requestId, String job, Runnable onUnknown, Runnable onUnavailable) {
        JobResult result = lookup.knownResult(job);
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
            // A dependency may have been cancelled long ago, and the job with it.
            responses.retryLater(requestId, "looking up what the job awaits, try again");
            return;
        }
        int running = job.liveAttemptCount();
        JobCondition condition = running > 0 ? JobCondition.RUNNING : JobCondition.PENDING;
        responses.state(requestId, new JobStatus(job.id(), condition, job.doneCount(), running));
    }
}
