package dewlane.core.admission;

import dewlane.core.message.Context;
import dewlane.core.message.Effect;
import dewlane.core.message.Effect.Condition;
import dewlane.core.message.Effect.JobState;
import dewlane.core.schema.Value.FinalRecord;

/** Answers to users' requests. */
final class UserReplies {
    /** When those come back who find the service busy. */
    private static final int RETRY_S = 1;

    private final Context context;

    UserReplies(Context context) {
        this.context = context;
    }

    /** The job is new, and this is its state. */
    void accepted(long id, String job, Condition condition) {
        context.emit(new Effect.AnswerUser(id, 201, new JobState(job, condition, 0, 0), null, RETRY_S));
    }

    /** The job's state. */
    void state(long id, JobState state) {
        context.emit(new Effect.AnswerUser(id, 200, state, null, RETRY_S));
    }

    /** The job's state once it is over. */
    void finalState(long id, String job, FinalRecord result) {
        state(id, new JobState(job, result.aborted() ? Condition.ABORTED : Condition.DONE, 0, 0));
    }

    /** The job is cancelled. */
    void aborted(long id, String job) {
        state(id, new JobState(job, Condition.ABORTED, 0, 0));
    }

    /** The request cannot be served, whenever it is repeated. */
    void refused(long id, int status, String reason) {
        context.emit(new Effect.AnswerUser(id, status, null, reason, RETRY_S));
    }

    /** The request may be repeated soon. */
    void later(long id, String reason) {
        later(id, reason, RETRY_S);
    }

    /** The request may be repeated after the given time. */
    void later(long id, String reason, int retryAfterS) {
        context.emit(new Effect.AnswerUser(id, 503, null, reason, retryAfterS));
    }

    /** The state service does not answer. */
    void unavailable(long id) {
        later(id, "state service out of reach, try again");
    }
}
