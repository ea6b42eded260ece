package dewlane.core.admission;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.schema.StoredValue.JobResult;

/** Answers users' requests, each of which is known by an id. The texts are part of the users' protocol. */
public final class UserResponses {
    private static final int STATUS_OK = 200;
    private static final int STATUS_CREATED = 201;
    private static final int STATUS_MALFORMED = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CANNOT_RUN = 422;
    private static final int STATUS_UNAVAILABLE = 503;

    private static final int DEFAULT_RETRY_AFTER_S = 1;
    /** For submissions beyond what can be written. */
    private static final int OVERLOAD_RETRY_AFTER_S = 4;
    /** For requests that have to wait until every controller is upgraded. */
    private static final int UPGRADE_RETRY_AFTER_S = 5;

    private final ControllerContext context;

    /** Emits the answers as effects. */
    public UserResponses(ControllerContext context) {
        this.context = context;
    }

    /** The job is newly accepted, in the given condition. */
    void accepted(long requestId, String job, JobCondition condition) {
        JobStatus status = new JobStatus(job, condition, 0, 0);
        context.emit(new Effect.AnswerUser(requestId, STATUS_CREATED, status, null, DEFAULT_RETRY_AFTER_S));
    }

    /** The job's state. */
    void state(long requestId, JobStatus status) {
        context.emit(new Effect.AnswerUser(requestId, STATUS_OK, status, null, DEFAULT_RETRY_AFTER_S));
    }

    /** The final state of a job that has ended. */
    void result(long requestId, String job, JobResult result) {
        JobCondition condition = result.cancelled() ? JobCondition.CANCELLED : JobCondition.DONE;
        state(requestId, new JobStatus(job, condition, 0, 0));
    }

    /** The job is cancelled. */
    void cancelled(long requestId, String job) {
        state(requestId, new JobStatus(job, JobCondition.CANCELLED, 0, 0));
    }

    /** The job was never accepted. */
    void notFound(long requestId) {
        reject(requestId, STATUS_NOT_FOUND, "no such job");
    }

    /** The submission is malformed, or too large for this service. */
    void malformed(long requestId, String reason) {
        reject(requestId, STATUS_MALFORMED, reason);
    }

    /** The job can never run. */
    void cannotRun(long requestId, String reason) {
        reject(requestId, STATUS_CANNOT_RUN, reason);
    }

    private void reject(long requestId, int status, String reason) {
        context.emit(new Effect.AnswerUser(requestId, status, null, reason, DEFAULT_RETRY_AFTER_S));
    }

    /** The request may be repeated soon. */
    void retryLater(long requestId, String reason) {
        retryLater(requestId, reason, DEFAULT_RETRY_AFTER_S);
    }

    /** This controller cannot decide yet. */
    void notReady(long requestId) {
        retryLater(requestId, "not ready, try again");
    }

    /** The store does not answer. */
    void unavailable(long requestId) {
        retryLater(requestId, "state service out of reach, try again");
    }

    /** More reads of results than the request rate allows. */
    void tooManyReads(long requestId) {
        retryLater(requestId, "too many questions, try again");
    }

    /** More submissions than the write rate allows. */
    void tooManySubmissions(long requestId) {
        retryLater(requestId, "too many submissions, try again", OVERLOAD_RETRY_AFTER_S);
    }

    /** A controller of an older version that may still run does not know what the request asks for. */
    void upgradeUnfinished(long requestId) {
        retryLater(
                requestId, "not every controller has shown yet that it is upgraded, try again", UPGRADE_RETRY_AFTER_S);
    }

    private void retryLater(long requestId, String reason, int retryAfterS) {
        context.emit(new Effect.AnswerUser(requestId, STATUS_UNAVAILABLE, null, reason, retryAfterS));
    }
}
