package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Report.End;
import dewlane.core.Report.Phase;
import dewlane.core.Report.TaskState;
import dewlane.core.Value.JobRecord;
import dewlane.core.Value.Presence;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What one controller writes to launch tasks and to record their outcomes. */
class ControllerLaunchTest extends ControllerFixture {
    @Test
    void launchIsWrittenUnderItsGuardsBeforeItIsCommanded() {
        connectWorker();
        applyJob(job(2, 1));
        applySlice(2, 0);

        tick(100);

        assertTrue(effects.stream()
                .filter(Effect.Command.class::isInstance)
                .map(Effect.Command.class::cast)
                .allMatch(command -> command.orders().isEmpty()));
        Transaction transaction = takeFirst(Effect.SendTxn.class).txn();
        List<String> guards =
                transaction.when().stream().map(Transaction.Guard::key).toList();
        assertTrue(
                guards.containsAll(
                        List.of(Keys.job(JOB), Keys.slice(JOB, 0), Keys.MAP, Keys.machine(MACHINE), Keys.team("blue"))),
                guards.toString());
    }

    @Test
    void launchesStayWithinTeamQuota() {
        connectWorker();
        applyJob(job(9, 3));
        applySlice(9, 0);

        tick(100);

        Transaction transaction = takeFirst(Effect.SendTxn.class).txn();
        assertEquals(1, writtenSlice(transaction).attempts().size(), "3 of 4 CPUs are taken by the first task");
    }

    /** When the state is read anew all records vanish for a moment: no dependant starts for that. */
    @Test
    void reloadOfStateReleasesNoDependant() {
        connectWorker();
        List<Value.Deal> deals = List.of(new Value.Deal("n0", 0, 2));
        JobRecord dependency = new JobRecord(job(2, 5), deals, 0);
        JobRecord dependant = new JobRecord(job("wk-2", 2, 1).withAwaits(List.of(JOB)), deals, 0);
        applyChange(Keys.job(JOB), dependency);
        applyChange(Keys.job("wk-2"), dependant);

        receive(10, new Input.WatchFailed(true));
        tick(600);
        List<Input.Row> rows = List.of(
                new Input.Row(Keys.job("wk-2"), dependant, revision),
                new Input.Row(Keys.job(JOB), dependency, revision - 1),
                new Input.Row(Keys.MAP, mapOfOne(), 11),
                new Input.Row(Keys.presence("n0"), new Presence(1), 11));
        receive(10, new Input.StateListed(rows, revision, revision));
        effects.clear();
        receiveHeartbeat(60, 3, heartbeat(1, 3, 0));
        long token = takeFirst(Effect.AnswerReport.class).token();
        receiveHeartbeat(500, 4, heartbeat(1, 4, token));
        applyChange(Keys.job("wk-3"), new JobRecord(job("wk-3", 2, 1), deals, 0));
        for (int i = 0; i < 20; i++) {
            tick(100);
        }

        List<String> written = take(Effect.SendTxn.class).stream()
                .flatMap(sent -> sent.txn().apply().stream())
                .map(Transaction.Write::key)
                .toList();
        assertTrue(written.contains(Keys.slice("wk-3", 0)), "a job without dependencies is launched");
        assertFalse(written.contains(Keys.slice("wk-2", 0)), "a dependant of another job was launched");
    }

    /**
     * Found in a day's writes: once the first outcomes of a job were written, each further one was a change of its own.
     */
    @Test
    void outcomesAfterFirstWriteAreBatchedAgain() {
        connectWorker();
        int tasks = 8;
        Job job = JobBuilder.job(JOB)
                .team("red")
                .tasks(tasks)
                .cpus(0.25)
                .acceptedMs(1)
                .build();
        applyJob(job);
        applySlice(
                tasks,
                1,
                IntStream.range(0, tasks).mapToObj(task -> attempt(task, 1)).toArray(Attempt[]::new));
        effects.clear();

        int writes = 0;
        List<Transaction.Write> notYetShown = new ArrayList<>();
        for (int ended = 1; ended < tasks; ended++) {
            receiveHeartbeat(400, 10 + ended, heartbeat(1, 10 + ended, FIRST_TOKEN, states(tasks, ended)));
            // The write of the last round shows here only now, when the next outcome is in already.
            notYetShown.forEach(write -> applyChange(write.key(), write.value()));
            notYetShown.clear();
            tick(100);
            for (Effect.SendTxn sent : take(Effect.SendTxn.class)) {
                writes++;
                receive(5, new Input.TxnAnswer(sent.id(), Transaction.Status.COMMITTED, revision + 1));
                notYetShown.addAll(sent.txn().apply());
            }
        }

        assertTrue(writes >= 1 && writes <= tasks / 2, writes + " writes for " + (tasks - 1) + " outcomes over 3.5 s");
    }

    /** The first tasks have ended, and the others run. */
    private static TaskState[] states(int tasks, int ended) {
        return IntStream.range(0, tasks)
                .mapToObj(task -> task < ended
                        ? new TaskState(JOB, task, 1, Phase.EXITED, End.DONE, false)
                        : new TaskState(JOB, task, 1, Phase.RUNNING, null, false))
                .toArray(TaskState[]::new);
    }
}
