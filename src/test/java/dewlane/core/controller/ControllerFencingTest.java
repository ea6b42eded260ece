package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.Presence;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests how a controller interprets the fencing token and the incarnation in heartbeats, and which fencing token its
 * responses and commands carry.
 */
class ControllerFencingTest extends ControllerFixture {
    @Test
    void onlyHigherTokenOrLaterIncarnationProvesAttemptCannotRun() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, FIRST_TOKEN));
        applyJob(job(1, 1));
        applySlice(1, 1, attempt(0, 1));
        effects.clear();

        receiveHeartbeat(3000, 2, heartbeat(1, 2, FIRST_TOKEN));
        tick(100);
        assertEquals(
                List.of(),
                take(Effect.CommitTransaction.class),
                "a heartbeat without an attempt whose launch may be in flight proves nothing");

        receiveChanges(10, List.of());
        effects.clear();
        receiveHeartbeat(3000, 3, heartbeat(2, 3, FIRST_TOKEN));
        tick(100);
        List<Effect.CommitTransaction> written = take(Effect.CommitTransaction.class);
        assertEquals(1, written.size(), "a later incarnation of the worker proves that the attempt cannot run");
        assertTrue(writtenSlice(written.get(0).transaction()).attempts().stream()
                .noneMatch(attempt -> attempt.number() == 1));
    }

    @Test
    void cancelledLaunchThatMayStillArriveIsFencedOff() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, FIRST_TOKEN));
        applySlice(1, 1, attempt(0, 1));
        applyChange(StoreKeys.job(JOB), new JobRecord(job(1, 1), List.of(), now));
        effects.clear();

        receiveHeartbeat(3000, 2, heartbeat(1, 2, FIRST_TOKEN));

        Effect.AnswerHeartbeat response = takeFirst(Effect.AnswerHeartbeat.class);
        assertTrue(response.fencingToken() > FIRST_TOKEN);
        assertEquals(List.of(), response.commands());
    }

    /**
     * Guards against an index that lags behind the replica when scheduling cycles are delayed: the attempt must not be
     * forgotten before its outcome is durable.
     */
    @Test
    void outcomeThatIsNotYetDurableIsNotForgotten() {
        receiveHeartbeat(100, 1, heartbeat(1, 1, FIRST_TOKEN));
        revision++;
        List<Input.KeyChange> jobAndSlice = List.of(
                new Input.KeyChange(StoreKeys.job(JOB), new JobRecord(job(1, 1), List.of(), 0), revision),
                new Input.KeyChange(StoreKeys.slice(JOB, 0), slice(1, 1, attempt(0, 1)), revision));
        receiveChanges(10, jobAndSlice);
        effects.clear();

        TaskStatus done = new TaskStatus(JOB, 0, 1, Phase.EXITED, ExitReason.DONE, false);
        receiveHeartbeat(10, 2, heartbeat(1, 2, FIRST_TOKEN, done));

        assertEquals(List.of(), takeFirst(Effect.AnswerHeartbeat.class).commands());
    }

    @Test
    void heartbeatThatHasSeenHigherTokenIsRefused() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 5 * FIRST_TOKEN));

        assertEquals(1, take(Effect.RejectHeartbeat.class).size());
    }

    /**
     * After a watch has failed because its revision was compacted, the controller lists the store again, under the same
     * partition map. No fencing token may be used a second time.
     */
    @Test
    void tokensOnlyGrowAfterReloadOfState() {
        receiveHeartbeat(60, 1, heartbeat(1, 1, 0));
        long token = takeFirst(Effect.AnswerHeartbeat.class).fencingToken();

        receive(10, new Input.WatchFailed(watch, true));
        tick(600);
        List<Input.StoreRow> rows = List.of(
                new Input.StoreRow(StoreKeys.PARTITION_MAP, mapOfOne(), revision),
                new Input.StoreRow(StoreKeys.presence("n0"), new Presence(1), revision));
        receive(10, new Input.StoreListed(rows, revision, revision));
        receiveHeartbeat(500, 2, heartbeat(1, 2, token));

        assertTrue(takeFirst(Effect.AnswerHeartbeat.class).fencingToken() > token);
    }
}
