package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.job.JobMemory;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests that submissions are refused, and everything else goes on, while the stored jobs take all their memory. */
class JobMemoryLimitTest extends ControllerFixture {
    private static final int LARGE_JOBS = 70;
    /** Takes about a megabyte, as a machine type has at least the size of a string. */
    private static final List<String> MANY_TYPES = Collections.nCopies(20_000, "box");

    private static Job largeJob(int number) {
        return JobBuilder.job("wk-9" + number).types(MANY_TYPES).build();
    }

    /** Has the watch deliver jobs that take more memory than is meant for them. */
    private void exceedMemory() {
        revision++;
        List<Input.KeyChange> changes = new ArrayList<>();
        for (int i = 0; i < LARGE_JOBS; i++) {
            Job job = largeJob(i);
            changes.add(new Input.KeyChange(StoreKeys.job(job.id()), new JobRecord(job, List.of(), 0), revision));
        }
        receiveChanges(60, changes);
        tick(1100);
        assertTrue(controller.jobMemoryBytes() > JobMemory.MAX_BYTES);
        effects.clear();
    }

    /** Has the store answer the reads of its revision and of the result of the submitted job. */
    private Effect.AnswerUser answerAfterLookup(Optional<StoredValue> result) {
        receive(10, new Input.RevisionRead(revision));
        Effect.ReadValue read = effects.stream()
                .filter(Effect.ReadValue.class::isInstance)
                .map(Effect.ReadValue.class::cast)
                .findFirst()
                .orElseThrow();
        receive(10, new Input.ValueRead(read.id(), result));
        return effects.stream()
                .filter(Effect.AnswerUser.class::isInstance)
                .map(Effect.AnswerUser.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private List<Effect.AnswerUser> submit(long request, String id) {
        receive(10, new Input.SubmitJob(request, id, job(id, 1, 1), null));
        return effects.stream()
                .filter(Effect.AnswerUser.class::isInstance)
                .map(Effect.AnswerUser.class::cast)
                .toList();
    }

    /** Guards against accepted jobs that the controllers have no memory to hold. */
    @Test
    void submissionWithoutRoomIsRefusedBeforeAnythingIsWritten() {
        exceedMemory();
        assertEquals(List.of(), submit(1, "wk-5"));
        Effect.AnswerUser answer = answerAfterLookup(Optional.empty());
        assertEquals(503, answer.status());
        assertTrue(answer.retryAfterS() > 1);
        List<Effect.Log> log = effects.stream()
                .filter(Effect.Log.class::isInstance)
                .map(Effect.Log.class::cast)
                .toList();
        assertTrue(log.stream().anyMatch(line -> line.text().contains("wk-5 is refused")), log.toString());
        assertEquals(List.of(), take(Effect.CommitTransaction.class));
        String label = Counter.SUBMISSIONS_REFUSED_FOR_MEMORY.label();
        assertTrue(controller.countersSummary().contains(label + " 1"));
    }

    /** Guards against a user who never learns that the job was accepted and has ended, as the first answer was lost. */
    @Test
    void repeatOfEndedJobIsAnsweredWithoutRoom() {
        exceedMemory();
        assertEquals(List.of(), submit(1, "wk-5"));
        Effect.AnswerUser answer = answerAfterLookup(Optional.of(new JobResult(false, 1)));
        assertEquals(200, answer.status());
        assertEquals(Effect.JobCondition.DONE, answer.job().condition());
    }

    /** Guards against a full memory that blocks the requests and reports by which jobs end. */
    @Test
    void queriesCancellationsRepeatsAndHeartbeatsGoOnWithoutRoom() {
        applyJob(job(1, 1));
        connectWorker();
        exceedMemory();
        receive(10, new Input.GetJobStatus(1, JOB));
        receive(10, new Input.RevisionRead(revision));
        assertEquals(200, takeFirst(Effect.AnswerUser.class).status());
        receive(2000, new Input.SubmitJob(2, JOB, job(1, 1), null));
        receive(10, new Input.RevisionRead(revision));
        assertEquals(200, takeFirst(Effect.AnswerUser.class).status(), "a repeat of an accepted job");
        receiveHeartbeat(500, 3, heartbeat(1, 3, FIRST_TOKEN));
        assertEquals(1, take(Effect.AnswerHeartbeat.class).size());
        receive(10, new Input.CancelJob(4, JOB));
        Effect.CommitTransaction cancellation = take(Effect.CommitTransaction.class).stream()
                .filter(commit -> commit.transaction().writes().stream()
                        .anyMatch(write -> write.value() instanceof JobResult result && result.cancelled()))
                .findFirst()
                .orElseThrow();
        receive(10, new Input.TransactionCompleted(cancellation.id(), Transaction.Status.COMMITTED, revision + 1));
        assertEquals(200, takeFirst(Effect.AnswerUser.class).status());
    }

    @Test
    void submissionsAreAcceptedAgainOnceJobsHaveEnded() {
        exceedMemory();
        assertEquals(List.of(), submit(1, "wk-5"));
        assertEquals(503, answerAfterLookup(Optional.empty()).status());
        for (int i = 0; i < LARGE_JOBS / 2; i++) {
            applyChange(StoreKeys.job(largeJob(i).id()), null);
        }
        tick(1100);
        effects.clear();
        assertEquals(List.of(), submit(2, "wk-5"));
        assertEquals(1, take(Effect.CommitTransaction.class).size());
    }

    /** Guards against a burst of submissions that are all admitted before the replica shows the first of them. */
    @Test
    void jobsThatTheReplicaDoesNotShowYetAreCounted() {
        long before = controller.jobMemoryBytes();
        assertEquals(List.of(), submit(1, "wk-5"));
        assertTrue(controller.jobMemoryBytes() > before);
        tick(1100);
        assertTrue(controller.jobMemoryBytes() > before, "the write may not have reached the replica yet");
    }
}
