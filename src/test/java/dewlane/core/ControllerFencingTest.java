package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Report.End;
import dewlane.core.Report.Phase;
import dewlane.core.Report.TaskState;
import dewlane.core.Value.JobRecord;
import dewlane.core.Value.Presence;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What one controller concludes from the fencing token and the incarnation in heartbeats, and under which it replies.
 */
class ControllerFencingTest extends ControllerFixture {
    @Test
    void onlyHigherTokenOrLaterIncarnationProvesAttemptGone() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, FIRST_TOKEN));
        applyJob(job(1, 1));
        applySlice(1, 1, attempt(0, 1));
        effects.clear();

        receiveHeartbeat(3000, 2, heartbeat(1, 2, FIRST_TOKEN));
        tick(100);
        assertEquals(
                List.of(),
                take(Effect.SendTxn.class),
                "a heartbeat that lacks a launch still on its way proves nothing");

        receive(10, new Input.Changes(List.of(), revision));
        effects.clear();
        receiveHeartbeat(3000, 3, heartbeat(2, 3, FIRST_TOKEN));
        tick(100);
        List<Effect.SendTxn> written = take(Effect.SendTxn.class);
        assertEquals(1, written.size(), "the worker's later incarnation does");
        assertTrue(writtenSlice(written.get(0).txn()).attempts().stream().noneMatch(attempt -> attempt.number() == 1));
    }

    @Test
    void cancelledLaunchThatMayStillArriveIsFencedOff() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, FIRST_TOKEN));
        applySlice(1, 1, attempt(0, 1));
        applyChange(Keys.job(JOB), new JobRecord(job(1, 1), List.of(), now));
        effects.clear();

        receiveHeartbeat(3000, 2, heartbeat(1, 2, FIRST_TOKEN));

        Effect.AnswerReport reply = takeFirst(Effect.AnswerReport.class);
        assertTrue(reply.token() > FIRST_TOKEN);
        assertEquals(List.of(), reply.orders());
    }

    /** Found by the test above once passes came later: the index lagged behind the replica. */
    @Test
    void outcomeThatIsNotYetDurableIsNotForgotten() {
        receiveHeartbeat(100, 1, heartbeat(1, 1, FIRST_TOKEN));
        revision++;
        List<Input.Change> jobAndSlice = List.of(
                new Input.Change(Keys.job(JOB), new JobRecord(job(1, 1), List.of(), 0), revision),
                new Input.Change(Keys.slice(JOB, 0), slice(1, 1, attempt(0, 1)), revision));
        receive(10, new Input.Changes(jobAndSlice, revision));
        effects.clear();

        TaskState done = new TaskState(JOB, 0, 1, Phase.EXITED, End.DONE, false);
        receiveHeartbeat(10, 2, heartbeat(1, 2, FIRST_TOKEN, done));

        assertEquals(List.of(), takeFirst(Effect.AnswerReport.class).orders());
    }

    @Test
    void heartbeatThatHasSeenHigherTokenIsRefused() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 5 * FIRST_TOKEN));

        assertEquals(1, take(Effect.RefuseReport.class).size());
    }

    /** A watch that fell behind has the state read anew, under the same map: no token may be used a second time. */
    @Test
    void tokensOnlyGrowAfterReloadOfState() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        long token = takeFirst(Effect.AnswerReport.class).token();

        receive(10, new Input.WatchFailed(true));
        tick(600);
        List<Input.Row> rows = List.of(
                new Input.Row(Keys.MAP, mapOfOne(), revision),
                new Input.Row(Keys.presence("n0"), new Presence(1), revision));
        receive(10, new Input.StateListed(rows, revision, revision));
        receiveHeartbeat(500, 2, heartbeat(1, 2, token));

        assertTrue(takeFirst(Effect.AnswerReport.class).token() > token);
    }
}
