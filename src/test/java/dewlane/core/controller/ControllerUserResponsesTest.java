package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobResult;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests a controller's responses to users, and the reads from the store that precede them. */
class ControllerUserResponsesTest extends ControllerFixture {
    private static final String MALFORMED = "bottles must be an integer";

    @Test
    void resubmissionIsRecognizedRegardlessOfItsBody() {
        applyJob(job(1, 1));
        effects.clear();

        receive(10, new Input.SubmitJob(5, JOB, null, MALFORMED));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        receive(10, new Input.RevisionRead(revision));

        assertEquals(200, takeFirst(Effect.AnswerUser.class).status());
    }

    @Test
    void malformedSubmissionIsRejectedDuringStoreOutageUnlessItsJobMayExist() {
        applyJob(job(1, 1));
        effects.clear();

        receive(10, new Input.SubmitJob(5, JOB, null, MALFORMED));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        receive(10, new Input.RevisionReadFailed());
        assertEquals(503, takeFirst(Effect.AnswerUser.class).status());

        receive(10, new Input.SubmitJob(6, "wk-2", null, MALFORMED));
        tick(200);
        assertEquals(1, take(Effect.ReadRevision.class).size());
        receive(10, new Input.RevisionReadFailed());
        assertEquals(400, takeFirst(Effect.AnswerUser.class).status());
    }

    @Test
    void delayedResponseNeverShowsConditionBeforeFinalOne() {
        applyJob(job(1, 1));
        effects.clear();

        receive(10, new Input.GetJobStatus(5, JOB));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        long revisionAsked = revision;
        applyChange(StoreKeys.jobResult(JOB), new JobResult(true, now));
        effects.clear();
        receive(10, new Input.RevisionRead(revisionAsked));

        assertEquals(
                JobCondition.CANCELLED, takeFirst(Effect.AnswerUser.class).job().condition());
    }

    /**
     * Guards against a read per status request: hundreds of requests used up the store's request rate, so that leases
     * could not be renewed and expired.
     */
    @Test
    void statusRequestsShareOneReadAndWaitForItsRevision() {
        applyJob(job(1, 1));
        receive(10, new Input.GetJobStatus(5, JOB));
        effects.clear();

        for (int i = 6; i < 106; i++) {
            receive(1, new Input.GetJobStatus(i, JOB));
        }
        receive(1, new Input.RevisionRead(revision));
        tick(200);
        long reads =
                effects.stream().filter(Effect.ReadRevision.class::isInstance).count();
        assertEquals(1, reads, "a hundred status requests share one read");
        assertEquals(List.of(5L), takeAnswered(), "a read answers only requests that arrived before it was sent");

        effects.clear();
        receive(1, new Input.RevisionRead(revision + 1));
        assertEquals(List.of(), takeAnswered(), "the replica may lack changes that users have already been told of");

        applyChange(StoreKeys.jobResult(JOB), new JobResult(true, now));
        List<Effect.AnswerUser> answers = take(Effect.AnswerUser.class);
        assertEquals(100, answers.size());
        for (Effect.AnswerUser answer : answers) {
            assertEquals(JobCondition.CANCELLED, answer.job().condition());
        }
    }

    private List<Long> takeAnswered() {
        return take(Effect.AnswerUser.class).stream().map(Effect.AnswerUser::id).toList();
    }

    /** A dependency may have been cancelled earlier; until its result is read, the user is told to retry. */
    @Test
    void dependentIsNotReportedPendingBeforeResultOfItsDependencyIsRead() {
        applyJob(job("wk-2", 2, 1).withDependencies(List.of("wk-9")));
        effects.clear();

        receive(300, new Input.GetJobStatus(7, "wk-2"));
        receive(5, new Input.RevisionRead(revision));
        assertEquals(503, takeFirst(Effect.AnswerUser.class).status());

        tick(100);
        receive(5, new Input.ValueRead(1, Optional.of(new JobResult(true, 5))));
        receive(300, new Input.GetJobStatus(8, "wk-2"));
        receive(5, new Input.RevisionRead(revision));
        assertEquals(
                JobCondition.CANCELLED, takeFirst(Effect.AnswerUser.class).job().condition());
    }
}
