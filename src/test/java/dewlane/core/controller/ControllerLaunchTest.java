package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the transactions by which a controller launches tasks and records their outcomes. */
class ControllerLaunchTest extends ControllerFixture {
    @Test
    void launchIsWrittenWithPreconditionsBeforeCommandIsSent() {
        connectWorker();
        applyJob(job(2, 1));
        applySlice(2, 0);

        tick(100);

        assertTrue(effects.stream()
                .filter(Effect.SendCommands.class::isInstance)
                .map(Effect.SendCommands.class::cast)
                .allMatch(command -> command.commands().isEmpty()));
        Transaction transaction = takeFirst(Effect.CommitTransaction.class).transaction();
        List<String> preconditionKeys = transaction.preconditions().stream()
                .map(Transaction.Precondition::key)
                .toList();
        assertTrue(
                preconditionKeys.containsAll(List.of(
                        StoreKeys.job(JOB),
                        StoreKeys.slice(JOB, 0),
                        StoreKeys.PARTITION_MAP,
                        StoreKeys.decommission(MACHINE),
                        StoreKeys.teamUsage("blue"))),
                preconditionKeys.toString());
    }

    @Test
    void launchesStayWithinTeamQuota() {
        connectWorker();
        applyJob(job(9, 3));
        applySlice(9, 0);

        tick(100);

        Transaction transaction = takeFirst(Effect.CommitTransaction.class).transaction();
        assertEquals(1, writtenSlice(transaction).attempts().size(), "the first task uses 3 of the team's 4 CPUs");
    }

    /** Loading a listing removes all records for a moment; that must not count as the end of a dependency. */
    @Test
    void reloadOfStateReleasesNoDependent() {
        connectWorker();
        List<StoredValue.SliceAssignment> assignments = List.of(new StoredValue.SliceAssignment("n0", 0, 2));
        JobRecord dependency = new JobRecord(job(2, 5), assignments, 0);
        JobRecord dependent = new JobRecord(job("wk-2", 2, 1).withDependencies(List.of(JOB)), assignments, 0);
        applyChange(StoreKeys.job(JOB), dependency);
        applyChange(StoreKeys.job("wk-2"), dependent);

        receive(10, new Input.WatchFailed(watch, true));
        tick(600);
        List<Input.StoreRow> rows = List.of(
                new Input.StoreRow(StoreKeys.job("wk-2"), dependent, revision),
                new Input.StoreRow(StoreKeys.job(JOB), dependency, revision - 1),
                new Input.StoreRow(StoreKeys.PARTITION_MAP, mapOfOne(), 11),
                new Input.StoreRow(StoreKeys.presence("n0"), new Presence(1), 11));
        receive(10, new Input.StoreListed(rows, revision, revision));
        effects.clear();
        receiveHeartbeat(60, 3, heartbeat(1, 3, 0));
        long token = takeFirst(Effect.AnswerHeartbeat.class).fencingToken();
        receiveHeartbeat(500, 4, heartbeat(1, 4, token));
        applyChange(StoreKeys.job("wk-3"), new JobRecord(job("wk-3", 2, 1), assignments, 0));
        for (int i = 0; i < 20; i++) {
            tick(100);
        }

        List<String> written = take(Effect.CommitTransaction.class).stream()
                .flatMap(sent -> sent.transaction().writes().stream())
                .map(Transaction.Write::key)
                .toList();
        assertTrue(written.contains(StoreKeys.slice("wk-3", 0)), "a job without dependencies is launched");
        assertFalse(written.contains(StoreKeys.slice("wk-2", 0)), "a dependent of another job was launched");
    }

    /** Guards against a write per outcome: after the first outcomes of a job, each one was written separately. */
    @Test
    void outcomesAfterFirstWriteAreBatchedAgain() {
        connectWorker();
        int tasks = 8;
        Job job = JobBuilder.job(JOB)
                .team("red")
                .tasks(tasks)
                .cpus(0.25)
                .acceptedAtMs(1)
                .build();
        applyJob(job);
        applySlice(
                tasks,
                1,
                IntStream.range(0, tasks).mapToObj(task -> attempt(task, 1)).toArray(Attempt[]::new));
        effects.clear();

        int writes = 0;
        List<Transaction.Write> undelivered = new ArrayList<>();
        for (int ended = 1; ended < tasks; ended++) {
            receiveHeartbeat(400, 10 + ended, heartbeat(1, 10 + ended, FIRST_TOKEN, states(tasks, ended)));
            // The watch delivers the write of the last round only now, after the next outcome has arrived.
            undelivered.forEach(write -> applyChange(write.key(), write.value()));
            undelivered.clear();
            tick(100);
            for (Effect.CommitTransaction sent : take(Effect.CommitTransaction.class)) {
                writes++;
                receive(5, new Input.TransactionCompleted(sent.id(), Transaction.Status.COMMITTED, revision + 1));
                undelivered.addAll(sent.transaction().writes());
            }
        }

        assertTrue(writes >= 1 && writes <= tasks / 2, writes + " writes for " + (tasks - 1) + " outcomes over 3.5 s");
    }

    /** Returns task states: the first {@code ended} tasks have completed, the others are running. */
    private static TaskStatus[] states(int tasks, int ended) {
        return IntStream.range(0, tasks)
                .mapToObj(task -> task < ended
                        ? new TaskStatus(JOB, task, 1, Phase.EXITED, ExitReason.DONE, false)
                        : new TaskStatus(JOB, task, 1, Phase.RUNNING, null, false))
                .toArray(TaskStatus[]::new);
    }
}
