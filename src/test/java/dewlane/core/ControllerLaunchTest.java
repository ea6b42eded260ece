package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Value.ClusterMap;
import dewlane.core.Value.JobRecord;
import dewlane.core.Value.Member;
import dewlane.core.Value.Presence;
import dewlane.core.Value.Slice;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** One core, message by message. */
class ControllerTest extends ControllerFixture {
    @Test
    void aLaunchIsWrittenBeforeItIsCommandedAndOnlyThen() {
        meet();
        change(Keys.job("wk-1"), new JobRecord(job(2, 1), List.of(), 0));
        change(Keys.slice("wk-1", 0), new Slice("n0", 0, 2, 0, new BitSet(), List.of()));
        hear(100, new Input.Tick());
        assertTrue(effects.stream()
                .filter(Effect.Command.class::isInstance)
                .map(Effect.Command.class::cast)
                .allMatch(c -> c.orders().isEmpty()));
        Transaction txn = take(Effect.SendTxn.class).get(0).txn();
        List<String> guards = txn.when().stream().map(Transaction.Guard::key).toList();
        assertTrue(
                guards.containsAll(List.of(
                        Keys.job("wk-1"), Keys.slice("wk-1", 0), Keys.MAP, Keys.machine("m1"), Keys.team("blue"))),
                guards.toString());
    }

    @Test
    void noMoreThanTheTeamsLimitIsLaunched() {
        meet();
        change(Keys.job("wk-1"), new JobRecord(job(9, 3), List.of(), 0));
        change(Keys.slice("wk-1", 0), new Slice("n0", 0, 9, 0, new BitSet(), List.of()));
        hear(100, new Input.Tick());
        Transaction txn = take(Effect.SendTxn.class).get(0).txn();
        Slice written = (Slice) txn.apply().stream()
                .filter(w -> w.key().startsWith(Keys.SLICES))
                .findFirst()
                .orElseThrow()
                .value();
        assertEquals(1, written.attempts().size(), "3 of 4 CPUs are taken by the first task");
    }

    @Test
    void onlyAHigherTokenOrALaterSessionProvesAnAttemptGone() {
        long token = 1L << 20;
        hear(60, new Input.ReportReceived(1, report(1, 1, token)));
        change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        change(
                Keys.slice("wk-1", 0),
                new Slice("n0", 0, 1, 1, new BitSet(), List.of(new Attempt(0, 1, "m1", 1, token, 1))));
        effects.clear();
        hear(3000, new Input.ReportReceived(2, report(1, 2, token)));
        hear(100, new Input.Tick());
        assertEquals(
                List.of(), take(Effect.SendTxn.class), "a report that lacks a launch still on its way proves nothing");
        hear(10, new Input.Changes(List.of(), revision));
        effects.clear();
        hear(3000, new Input.ReportReceived(3, report(2, 3, token)));
        hear(100, new Input.Tick());
        List<Effect.SendTxn> written = take(Effect.SendTxn.class);
        assertEquals(1, written.size(), "the worker's later session does");
        Slice after = (Slice) written.get(0).txn().apply().stream()
                .filter(w -> w.key().startsWith(Keys.SLICES))
                .findFirst()
                .orElseThrow()
                .value();
        assertTrue(after.attempts().stream().noneMatch(a -> a.number() == 1));
    }

    @Test
    void aCancelledLaunchThatMayStillArriveIsFencedOff() {
        long token = 1L << 20;
        hear(60, new Input.ReportReceived(1, report(1, 1, token)));
        change(
                Keys.slice("wk-1", 0),
                new Slice("n0", 0, 1, 1, new BitSet(), List.of(new Attempt(0, 1, "m1", 1, token, 1))));
        change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), now));
        effects.clear();
        hear(3000, new Input.ReportReceived(2, report(1, 2, token)));
        Effect.AnswerReport answer = take(Effect.AnswerReport.class).get(0);
        assertTrue(answer.token() > token);
        assertEquals(List.of(), answer.orders());
    }

    /** Found by the test above once passes came later: the index lagged behind the replica. */
    @Test
    void anOutcomeThatIsNotYetDurableIsNotForgotten() {
        long token = 1L << 20;
        hear(100, new Input.ReportReceived(1, report(1, 1, token)));
        revision++;
        hear(
                10,
                new Input.Changes(
                        List.of(
                                new Input.Change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0), revision),
                                new Input.Change(
                                        Keys.slice("wk-1", 0),
                                        new Slice(
                                                "n0",
                                                0,
                                                1,
                                                1,
                                                new BitSet(),
                                                List.of(new Attempt(0, 1, "m1", 1, token, 1))),
                                        revision)),
                        revision));
        effects.clear();
        hear(
                10,
                new Input.ReportReceived(
                        2,
                        new Report(
                                "m1",
                                "h:1",
                                "box",
                                "east",
                                true,
                                1,
                                2,
                                token,
                                Double.NaN,
                                List.of(new Report.TaskState(
                                        "wk-1", 0, 1, Report.Phase.EXITED, Report.End.DONE, false)))));
        assertEquals(List.of(), take(Effect.AnswerReport.class).get(0).orders());
    }

    @Test
    void aReportThatHasSeenAHigherTokenIsNotAnswered() {
        hear(60, new Input.ReportReceived(1, report(1, 1, 5L << 20)));
        assertEquals(1, take(Effect.RefuseReport.class).size());
    }

    @Test
    void aRetriedSubmissionIsKnownWhateverItsBodySays() {
        change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        effects.clear();
        hear(10, new Input.Submit(5, "wk-1", null, "bottles must be an integer"));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        hear(10, new Input.RevisionRead(true, revision));
        assertEquals(200, take(Effect.AnswerUser.class).get(0).status());
    }

    @Test
    void aMalformedSubmissionIsToldSoAlsoWhenTheStateServiceIsOutUnlessItsJobMayBeKnown() {
        change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        effects.clear();
        hear(10, new Input.Submit(5, "wk-1", null, "bottles must be an integer"));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        hear(10, new Input.RevisionRead(false, 0));
        assertEquals(503, take(Effect.AnswerUser.class).get(0).status());
        hear(10, new Input.Submit(6, "wk-2", null, "bottles must be an integer"));
        hear(200, new Input.Tick());
        assertEquals(1, take(Effect.ReadRevision.class).size());
        hear(10, new Input.RevisionRead(false, 0));
        assertEquals(400, take(Effect.AnswerUser.class).get(0).status());
    }

    @Test
    void aLateAnswerShowsNoStateOlderThanTheFinalOne() {
        change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        effects.clear();
        hear(10, new Input.Poll(5, "wk-1"));
        assertEquals(1, take(Effect.ReadRevision.class).size());
        long asked = revision;
        change(Keys.fin("wk-1"), new Value.FinalRecord(true, now));
        effects.clear();
        hear(10, new Input.RevisionRead(true, asked));
        assertEquals(
                Effect.Condition.ABORTED,
                take(Effect.AnswerUser.class).get(0).state().condition());
    }

    /** Found in a hunt: a read for each of hundreds of polls used up the request rate, and leases were lost with it. */
    @Test
    void pollsShareOneRequestAndWaitForTheRevisionItNames() {
        change(Keys.job("wk-1"), new JobRecord(job(1, 1), List.of(), 0));
        hear(10, new Input.Poll(5, "wk-1"));
        effects.clear();
        for (int i = 6; i < 106; i++) {
            hear(1, new Input.Poll(i, "wk-1"));
        }
        hear(1, new Input.RevisionRead(true, revision));
        hear(200, new Input.Tick());
        long requests =
                effects.stream().filter(Effect.ReadRevision.class::isInstance).count();
        assertEquals(1, requests, "one request for a hundred questions");
        assertEquals(List.of(5L), answered(), "only what came before the request was sent is answered by it");
        effects.clear();
        hear(1, new Input.RevisionRead(true, revision + 1));
        assertEquals(List.of(), answered(), "the replica may lack what others were told");
        change(Keys.fin("wk-1"), new Value.FinalRecord(true, now));
        List<Effect.AnswerUser> answers = take(Effect.AnswerUser.class);
        assertEquals(100, answers.size());
        for (Effect.AnswerUser answer : answers) {
            assertEquals(Effect.Condition.ABORTED, answer.state().condition());
        }
    }

    private List<Long> answered() {
        return take(Effect.AnswerUser.class).stream().map(Effect.AnswerUser::id).toList();
    }

    /** What a job awaits may have been cancelled long ago: until that is known its user is told to come back. */
    @Test
    void aJobIsNotCalledPendingBeforeItIsKnownWhatBecameOfWhatItAwaits() {
        change(Keys.job("wk-2"), new JobRecord(job("wk-2", 2, 1).withAwaits(List.of("wk-9")), List.of(), 0));
        effects.clear();
        hear(300, new Input.Poll(7, "wk-2"));
        hear(5, new Input.RevisionRead(true, revision));
        assertEquals(503, take(Effect.AnswerUser.class).get(0).status());
        hear(100, new Input.Tick());
        hear(5, new Input.ValueRead(1, true, new Value.FinalRecord(true, 5), 3));
        hear(300, new Input.Poll(8, "wk-2"));
        hear(5, new Input.RevisionRead(true, revision));
        assertEquals(
                Effect.Condition.ABORTED,
                take(Effect.AnswerUser.class).get(0).state().condition());
    }

    /** When the state is read anew all records vanish for a moment: what awaits others does not start for that. */
    @Test
    void readingTheStateAnewReleasesNothing() {
        meet();
        JobRecord first = new JobRecord(job(2, 5), List.of(new Value.Deal("n0", 0, 2)), 0);
        Job second = job("wk-2", 2, 1).withAwaits(List.of("wk-1"));
        JobRecord waiting = new JobRecord(second, List.of(new Value.Deal("n0", 0, 2)), 0);
        change(Keys.job("wk-1"), first);
        change(Keys.job("wk-2"), waiting);
        hear(10, new Input.WatchFailed(true));
        hear(600, new Input.Tick());
        Value map = new ClusterMap(1, List.of(new Member("n0", 1)), Map.of());
        hear(
                10,
                new Input.StateListed(
                        List.of(
                                new Input.Row(Keys.job("wk-2"), waiting, revision),
                                new Input.Row(Keys.job("wk-1"), first, revision - 1),
                                new Input.Row(Keys.MAP, map, 11),
                                new Input.Row(Keys.presence("n0"), new Presence(1), 11)),
                        revision,
                        revision));
        effects.clear();
        hear(60, new Input.ReportReceived(3, report(1, 3, 0)));
        long token = take(Effect.AnswerReport.class).get(0).token();
        hear(500, new Input.ReportReceived(4, report(1, 4, token)));
        change(Keys.job("wk-3"), new JobRecord(job("wk-3", 2, 1), List.of(new Value.Deal("n0", 0, 2)), 0));
        for (int i = 0; i < 20; i++) {
            hear(100, new Input.Tick());
        }
        List<String> written = take(Effect.SendTxn.class).stream()
                .flatMap(t -> t.txn().apply().stream())
                .map(Transaction.Write::key)
                .toList();
        assertTrue(written.contains(Keys.slice("wk-3", 0)), "what awaits nothing is launched");
        assertFalse(written.contains(Keys.slice("wk-2", 0)), "what awaits another job was launched");
    }

    /** A watch that fell behind has the state read anew, under the same map: no token may be used a second time. */
    @Test
    void afterTheStateIsReadAnewTokensOnlyGrow() {
        hear(60, new Input.ReportReceived(1, report(1, 1, 0)));
        long token = take(Effect.AnswerReport.class).get(0).token();
        hear(10, new Input.WatchFailed(true));
        hear(600, new Input.Tick());
        hear(
                10,
                new Input.StateListed(
                        List.of(
                                new Input.Row(
                                        Keys.MAP, new ClusterMap(1, List.of(new Member("n0", 1)), Map.of()), revision),
                                new Input.Row(Keys.presence("n0"), new Presence(1), revision)),
                        revision,
                        revision));
        hear(500, new Input.ReportReceived(2, report(1, 2, token)));
        assertTrue(take(Effect.AnswerReport.class).get(0).token() > token);
    }

    /**
     * Found in a day's writes: once the first outcomes of a job were written, each further one was a change of its own.
     */
    @Test
    void outcomesThatFollowAWriteGatherAnew() {
        meet();
        long token = 1L << 20;
        int tasks = 8;
        Job job = JobBuilder.job("wk-2")
                .team("red")
                .tasks(tasks)
                .cpus(0.25)
                .acceptedMs(1)
                .build();
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            attempts.add(new Attempt(i, 1, "m1", 1, token, 1));
        }
        change(Keys.job(job.id()), new JobRecord(job, List.of(), 0));
        change(Keys.slice(job.id(), 0), new Slice("n0", 0, tasks, 1, new BitSet(), attempts));
        effects.clear();
        int writes = 0;
        List<Transaction.Write> shown = new ArrayList<>();
        for (int ended = 1; ended < tasks; ended++) {
            List<Report.TaskState> states = new ArrayList<>();
            for (int i = 0; i < tasks; i++) {
                states.add(
                        i < ended
                                ? new Report.TaskState(job.id(), i, 1, Report.Phase.EXITED, Report.End.DONE, false)
                                : new Report.TaskState(job.id(), i, 1, Report.Phase.RUNNING, null, false));
            }
            hear(
                    400,
                    new Input.ReportReceived(
                            10 + ended,
                            new Report("m1", "h:1", "box", "east", true, 1, 10 + ended, token, Double.NaN, states)));
            // The write of the last round shows here only now, when the next outcome is in already.
            shown.forEach(w -> change(w.key(), w.value()));
            shown.clear();
            hear(100, new Input.Tick());
            for (Effect.SendTxn sent : take(Effect.SendTxn.class)) {
                writes++;
                hear(5, new Input.TxnAnswer(sent.id(), Transaction.Status.COMMITTED, revision + 1));
                shown.addAll(sent.txn().apply());
            }
        }
        assertTrue(writes >= 1 && writes <= tasks / 2, writes + " writes for " + (tasks - 1) + " outcomes over 3.5 s");
    }
}
