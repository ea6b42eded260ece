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
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A worker that has dropped the record of an attempt starts it again if another copy of its launch arrives with a
 * fencing token that is still valid. So a forget may carry the token of the launch only once no copy of the launch can
 * arrive; otherwise it is deferred or carries a higher token.
 */
class ForgetOrderTest extends ControllerFixture {
    private static final WorkerCommand LAUNCH = new WorkerCommand(WorkerCommand.Action.LAUNCH, JOB, 0, 1, 0);
    private static final WorkerCommand FORGET = new WorkerCommand(WorkerCommand.Action.FORGET, JOB, 0, 1, 0);
    private static final TaskStatus FAILED = new TaskStatus(JOB, 0, 1, Phase.EXITED, ExitReason.ERROR, false);
    private static final TaskStatus RUNNING = new TaskStatus(JOB, 0, 1, Phase.RUNNING, null, false);

    private long sequence = 2;

    private Heartbeat nextHeartbeat(TaskStatus... tasks) {
        return heartbeat(1, ++sequence, FIRST_TOKEN, tasks);
    }

    private Effect.AnswerHeartbeat replyTo(Heartbeat heartbeat) {
        effects.clear();
        receiveHeartbeat(300, 100 + sequence, heartbeat);
        return takeFirst(Effect.AnswerHeartbeat.class);
    }

    private void applyAttempts(Attempt... attempts) {
        applySlice(2, attempts.length == 0 ? 2 : attempts.length, attempts);
    }

    private void launchDirectly() {
        connectWorker();
        applyJob(job(2, 1));
        effects.clear();
        applyAttempts(attempt(0, 1));
        Effect.SendCommands command = takeFirst(Effect.SendCommands.class);
        assertEquals(List.of(LAUNCH), command.commands());
        assertEquals(FIRST_TOKEN, command.fencingToken());
    }

    private void timeOutCommand() {
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, null));
    }

    @Test
    void attemptIsNotForgottenWhileDirectLaunchIsInFlight() {
        launchDirectly();
        assertTrue(replyTo(nextHeartbeat()).commands().contains(LAUNCH), "the response to a heartbeat launches it too");
        replyTo(nextHeartbeat(FAILED));
        applyAttempts();
        Effect.AnswerHeartbeat reply = replyTo(nextHeartbeat(FAILED));
        assertFalse(
                reply.fencingToken() == FIRST_TOKEN && reply.commands().contains(FORGET),
                "forgotten while the command that launches it may still arrive");
        timeOutCommand();
        reply = replyTo(nextHeartbeat(FAILED));
        assertTrue(reply.commands().contains(FORGET), "the deferred forget is sent");
        assertTrue(reply.fencingToken() > FIRST_TOKEN, "a higher token fences off the abandoned launch");
    }

    @Test
    void attemptIsForgottenUnderSameTokenOnceDirectLaunchIsAnswered() {
        launchDirectly();
        replyTo(nextHeartbeat());
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        Effect.AnswerHeartbeat reply = replyTo(nextHeartbeat(FAILED));
        assertTrue(reply.commands().contains(FORGET));
        assertEquals(
                FIRST_TOKEN, reply.fencingToken(), "the fence is not raised, which would invalidate other launches");
    }

    @Test
    void attemptIsNotForgottenByCommandWhileResponseIsInFlight() {
        launchDirectly();
        assertTrue(replyTo(nextHeartbeat()).commands().contains(LAUNCH));
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        effects.clear();
        applyAttempts(new Attempt(0, 2, "m2", 1, FIRST_TOKEN, 1), attempt(1, 3));
        Effect.SendCommands command = takeFirst(Effect.SendCommands.class);
        assertEquals(
                List.of(new WorkerCommand(WorkerCommand.Action.LAUNCH, JOB, 1, 3, 0)),
                command.commands(),
                "the response may reach the worker up to 4 s after it was sent");
    }

    /**
     * The launch was sent twice, and one copy started the attempt. The other copy, in the command that timed out, may
     * still arrive after the attempt has ended.
     */
    @Test
    void attemptIsForgottenUnderHigherTokenHoweverLongAgoLaunchWasAbandoned() {
        launchDirectly();
        replyTo(nextHeartbeat());
        timeOutCommand();
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    FIRST_TOKEN,
                    replyTo(nextHeartbeat(RUNNING)).fencingToken(),
                    "the other copy has no effect while the worker holds the attempt");
        }
        replyTo(nextHeartbeat(FAILED));
        applyAttempts();
        Effect.AnswerHeartbeat reply = replyTo(nextHeartbeat(FAILED));
        assertTrue(reply.commands().contains(FORGET));
        assertTrue(reply.fencingToken() > FIRST_TOKEN);
    }
}
