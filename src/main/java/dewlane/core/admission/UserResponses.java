package dewlane.core.admission;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.schema.StoredValue.JobResult;

/** Answers users' requests, which are identified by ids. The texts are part of the user protocol. */
public final class UserResponses {
    private static final int STATUS_OK = 200;
    private static final int STATUS_CREATED = 201;
    private static final int STATUS_MALFORMED = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CANNOT_RUN = 422;
    private static final int STATUS_UNAVAILABLE = 503;

    private static final int DEFAULT_RETRY_AFTER_S = 1;
    /** Retry delay for submissions that exceed the write rate. */
    private static final int OVERLOAD_RETRY_AFTER_S = 4;
    /** Retry delay for submissions for which there is no room until other jobs have ended. */
    private static final int MEMORY_RETRY_AFTER_S = 10;
    /** Retry delay for requests that cannot be accepted before every controller is upgraded. */
    private static final int UPGRADE_RETRY_AFTER_S = 5;

    private final ControllerContext context;

    /** Creates an instance that emits the answers as effects. */
    public UserResponses(ControllerContext context) {
        this.context = context;
    }

    /** Answers that the job is newly accepted, in the given condition. */
    void accepted(long requestId, String job, JobCondition condition) {
        JobStatus status = new JobStatus(job, condition, 0, 0);
        context.emit(new Effect.AnswerUser(requestId, STATUS_CREATED, status, null, DEFAULT_RETRY_AFTER_S));
    }

    /** Answers with the job's status. */
    void status(long requestId, JobStatus status) {
        context.emit(new Effect.AnswerUser(requestId, STATUS_OK, status, null, DEFAULT_RETRY_AFTER_S));
    }

    /** Answers with the final state of a job that has ended. */
    void result(long requestId, String job, JobResult result) {
        JobCondition condition = result.cancelled() ? JobCondition.CANCELLED : JobCondition.DONE;
        status(requestId, new JobStatus(job, condition, 0, 0));
    }

    /** Answers that the job is cancelled. */
    void cancelled(long requestId, String job) {
        status(requestId, new JobStatus(job, JobCondition.CANCELLED, 0, 0));
    }

    /** Answers that the job was never accepted. */
    void notFound(long requestId) {
        reject(requestId, STATUS_NOT_FOUND, "no such job");
    }

    /** Answers that the submission is malformed, or too large to be stored. */
    void malformed(long requestId, String reason) {
        reject(requestId, STATUS_MALFORMED, reason);
    }

    /** Answers that the job can never run. */
    void cannotRun(long requestId, String reason) {
        reject(requestId, STATUS_CANNOT_RUN, reason);
    }

    private void reject(long requestId, int status, String reason) {
        context.emit(new Effect.AnswerUser(requestId, status, null, reason, DEFAULT_RETRY_AFTER_S));
    }

    /** Asks the user to retry the request soon. */
    void retryLater(long requestId, String reason) {
        retryLater(requestId, reason, DEFAULT_RETRY_AFTER_S);
    }

    /** Asks the user to retry because this controller cannot decide yet. */
    void notReady(long requestId) {
        retryLater(requestId, "not ready, try again");
    }

    /** Asks the user to retry because the store did not answer. */
    void unavailable(long requestId) {
        retryLater(requestId, "state service out of reach, try again");
    }

    /** Asks the user to retry because the request rate allows no further read of a result now. */
    void tooManyReads(long requestId) {
        retryLater(requestId, "too many questions, try again");
    }

    /** Asks the user to retry because there are more submissions than the write rate allows. */
    void tooManySubmissions(long requestId) {
        retryLater(requestId, "too many submissions, try again", OVERLOAD_RETRY_AFTER_S);
    }

    /** Asks the user to retry because the stored jobs take all the memory that is meant for them. */
    void tooManyStoredJobs(long requestId) {
        retryLater(requestId, "too many jobs have not ended, try again", MEMORY_RETRY_AFTER_S);
    }

    /** Asks the user to retry because a controller may still run an older version that does not support the request. */
    void upgradeUnfinished(long requestId) {
        retryLater(
                requestId, "not every controller has shown yet that it is upgraded, try again", UPGRADE_RETRY_AFTER_S);
    }

    private void retryLater(long requestId, String reason, int retryAfterS) {
        context.emit(new Effect.AnswerUser(requestId, STATUS_UNAVAILABLE, null, reason, retryAfterS));
    }
}
