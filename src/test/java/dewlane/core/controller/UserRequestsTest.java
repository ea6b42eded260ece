package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A controller answers submissions and questions of users, with every answer of the store made up. */
class UserRequestsTest extends ControllerFixture {
    @Test
    void aRetriedSubmissionIsKnownWhateverItsBodySays() {
        change(StoreKeys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        effects.clear();
        hear(10, new Input.SubmitJob(5, "wk-1", null, "bottles must be an integer"));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        hear(10, new Input.RevisionRead(revision));
        assertEquals(200, take(Effect.AnswerUser.class).get(0).status());
    }

    @Test
    void aMalformedSubmissionIsToldSoAlsoWhenTheStateServiceIsOutUnlessItsJobMayBeKnown() {
        change(StoreKeys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        effects.clear();
        hear(10, new Input.SubmitJob(5, "wk-1", null, "bottles must be an integer"));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        hear(10, new Input.RevisionReadFailed());
        assertEquals(503, take(Effect.AnswerUser.class).get(0).status());
        hear(10, new Input.SubmitJob(6, "wk-2", null, "bottles must be an integer"));
        hear(200, new Input.Tick());
        assertEquals(1, take(Effect.ReadRevision.class).size());
        hear(10, new Input.RevisionReadFailed());
        assertEquals(400, take(Effect.AnswerUser.class).get(0).status());
    }

    @Test
    void aLateAnswerShowsNoStateOlderThanTheFinalOne() {
        change(StoreKeys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        effects.clear();
        hear(10, new Input.GetJobStatus(5, "wk-1"));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        long asked = revision;
        change(StoreKeys.jobResult("wk-1"), new StoredValue.JobResult(true, now));
        effects.clear();
        hear(10, new Input.RevisionRead(asked));
        assertEquals(
                Effect.JobCondition.CANCELLED,
                take(Effect.AnswerUser.class).get(0).job().condition());
    }

    /** Found in a hunt: a read for each of hundreds of polls used up the request rate, and leases were lost with it. */
    @Test
    void pollsShareOneRequestAndWaitForTheRevisionItNames() {
        change(StoreKeys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        hear(10, new Input.GetJobStatus(5, "wk-1"));
        effects.clear();
        for (int i = 6; i < 106; i++) {
            hear(1, new Input.GetJobStatus(i, "wk-1"));
        }
        hear(1, new Input.RevisionRead(revision));
        hear(200, new Input.Tick());
        long requests =
                effects.stream().filter(Effect.ReadRevision.class::isInstance).count();
        assertEquals(1, requests, "one request for a hundred questions");
        assertEquals(List.of(5L), answered(), "only what came before the request was sent is answered by it");
        effects.clear();
        hear(1, new Input.RevisionRead(revision + 1));
        assertEquals(List.of(), answered(), "the replica may lack what others were told");
        change(StoreKeys.jobResult("wk-1"), new StoredValue.JobResult(true, now));
        List<Effect.AnswerUser> answers = take(Effect.AnswerUser.class);
        assertEquals(100, answers.size());
        for (Effect.AnswerUser answer : answers) {
            assertEquals(Effect.JobCondition.CANCELLED, answer.job().condition());
        }
    }

    private List<Long> answered() {
        return take(Effect.AnswerUser.class).stream().map(Effect.AnswerUser::id).toList();
    }

    /** What a job awaits may have been cancelled long ago: until that is known its user is told to come back. */
}
