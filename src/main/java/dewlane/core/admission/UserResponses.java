package dewlane.core.admission;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.schema.StoredValue.JobResult;

/** Answers to users' requests. */
final class UserResponses {
    /** When those come back who find the service busy. */
    private static final int RETRY_S = 1;

    private final ControllerContext context;

    UserResponses(ControllerContext context) {
        this.context = context;
    }

    /** The job is new, and this is its state. */
    void accepted(long id, String job, JobCondition condition) {
        context.emit(new Effect.AnswerUser(id, 201, new JobStatus(job, condition, 0, 0), null, RETRY_S));
    }

    /** The job's state. */
    void state(long id, JobStatus state) {
        context.emit(new Effect.AnswerUser(id, 200, state, null, RETRY_S));
    }

    /** The job's state once it is over. */
    void finalState(long id, String job, JobResult result) {
        state(id, new JobStatus(job, result.cancelled() ? JobCondition.CANCELLED : JobCondition.DONE, 0, 0));
    }

    /** The job is cancelled. */
    void cancelled(long id, String job) {
        state(id, new JobStatus(job, JobCondition.CANCELLED, 0, 0));
    }

    /** The request cannot be served, whenever it is repeated. */
    void rejected(long id, int status, String reason) {
        context.emit(new Effect.AnswerUser(id, status, null, reason, RETRY_S));
    }

    /** The request may be repeated soon. */
    void retryLater(long id, String reason) {
        retryLater(id, reason, RETRY_S);
    }

    /** The request may be repeated after the given time. */
    void retryLater(long id, String reason, int retryAfterS) {
        context.emit(new Effect.AnswerUser(id, 503, null, reason, retryAfterS));
    }

    /** The state service does not answer. */
    void unavailable(long id) {
        retryLater(id, "state service out of reach, try again");
    }
}
