package dewlane.core.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.WorkerCommand;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.Slice;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A worker that was told to forget an attempt starts it anew when a copy of its launch arrives under a token that still
 * holds. So an attempt is forgotten under its launch's token only once no copy can arrive any more.
 */
class ForgetTest extends ControllerFixture {
    private static final long TOKEN = 1L << 20;
    private static final WorkerCommand LAUNCH = new WorkerCommand(WorkerCommand.Action.LAUNCH, "wk-1", 0, 1, 0);
    private static final WorkerCommand FORGET = new WorkerCommand(WorkerCommand.Action.FORGET, "wk-1", 0, 1, 0);
    private static final TaskStatus FAILED = new TaskStatus("wk-1", 0, 1, Phase.EXITED, ExitReason.ERROR, false);
    private static final TaskStatus RUNNING = new TaskStatus("wk-1", 0, 1, Phase.RUNNING, null, false);

    private long sequence = 2;

    private Heartbeat reportOf(long token, TaskStatus... tasks) {
        return new Heartbeat("m1", "h:1", "box", "east", true, 1, ++sequence, token, Double.NaN, List.of(tasks));
    }

    private Effect.AnswerHeartbeat answerTo(Heartbeat heartbeat) {
        effects.clear();
        hear(300, new Input.HeartbeatReceived(100 + sequence, heartbeat));
        return take(Effect.AnswerHeartbeat.class).get(0);
    }

    private void attemptIs(Attempt... attempts) {
        change(
                StoreKeys.slice("wk-1", 0),
                new Slice("n0", 0, 2, attempts.length == 0 ? 2 : attempts.length, new BitSet(), List.of(attempts)));
    }

    private Effect.SendCommands launchDirectly() {
        meet();
        change(StoreKeys.job("wk-1"), new JobRecord(job(2, 1), List.of(), 0));
        effects.clear();
        attemptIs(new Attempt(0, 1, "m1", 1, TOKEN, 1));
        Effect.SendCommands command = take(Effect.SendCommands.class).get(0);
        assertEquals(List.of(LAUNCH), command.commands());
        assertEquals(TOKEN, command.fencingToken());
        return command;
    }

    private void giveUpOnCommand() {
        hear(10, new Input.CommandCompleted("m1", TOKEN, true, null));
    }

    @Test
    void notWhileADirectLaunchIsUnderWay() {
        launchDirectly();
        assertTrue(answerTo(reportOf(TOKEN)).commands().contains(LAUNCH), "the answer to a report launches it too");
        answerTo(reportOf(TOKEN, FAILED));
        attemptIs();
        Effect.AnswerHeartbeat answer = answerTo(reportOf(TOKEN, FAILED));
        assertFalse(
                answer.fencingToken() == TOKEN && answer.commands().contains(FORGET),
                "forgotten while the command that launches it may still arrive");
        giveUpOnCommand();
        answer = answerTo(reportOf(TOKEN, FAILED));
        assertTrue(answer.commands().contains(FORGET), "the held back order follows");
        assertTrue(answer.fencingToken() > TOKEN, "and what was given up on is fenced off");
    }

    @Test
    void underTheSameTokenOnceTheDirectLaunchIsAnswered() {
        launchDirectly();
        answerTo(reportOf(TOKEN));
        hear(10, new Input.CommandCompleted("m1", TOKEN, true, reportOf(TOKEN, FAILED)));
        attemptIs();
        Effect.AnswerHeartbeat answer = answerTo(reportOf(TOKEN, FAILED));
        assertTrue(answer.commands().contains(FORGET));
        assertEquals(TOKEN, answer.fencingToken(), "no other launch is given up on for it");
    }

    @Test
    void notByCommandWhileTheAnswerToAReportIsUnderWay() {
        launchDirectly();
        assertTrue(answerTo(reportOf(TOKEN)).commands().contains(LAUNCH));
        hear(10, new Input.CommandCompleted("m1", TOKEN, true, reportOf(TOKEN, FAILED)));
        attemptIs();
        effects.clear();
        attemptIs(new Attempt(0, 2, "m2", 1, TOKEN, 1), new Attempt(1, 3, "m1", 1, TOKEN, 1));
        Effect.SendCommands command = take(Effect.SendCommands.class).get(0);
        assertEquals(
                List.of(new WorkerCommand(WorkerCommand.Action.LAUNCH, "wk-1", 1, 3, 0)),
                command.commands(),
                "the worker may be handed its answer up to 4 s after it was sent");
    }

    /** One that goes on running was started by one of two copies; the other one still waits for its end. */
    @Test
    void withARaisedFenceHoweverLongAgoTheCommandWasGivenUpOn() {
        launchDirectly();
        answerTo(reportOf(TOKEN));
        giveUpOnCommand();
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    TOKEN,
                    answerTo(reportOf(TOKEN, RUNNING)).fencingToken(),
                    "its copy harms nothing while it is held");
        }
        answerTo(reportOf(TOKEN, FAILED));
        attemptIs();
        Effect.AnswerHeartbeat answer = answerTo(reportOf(TOKEN, FAILED));
        assertTrue(answer.commands().contains(FORGET));
        assertTrue(answer.fencingToken() > TOKEN);
    }
}
