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

    private Effect.AnswerHeartbeat responseTo(Heartbeat heartbeat) {
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
        assertTrue(
                responseTo(nextHeartbeat()).commands().contains(LAUNCH), "the response to a heartbeat launches it too");
        responseTo(nextHeartbeat(FAILED));
        applyAttempts();
        Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(FAILED));
        assertFalse(
                response.fencingToken() == FIRST_TOKEN && response.commands().contains(FORGET),
                "forgotten while the command that launches it may still arrive");
        timeOutCommand();
        response = responseTo(nextHeartbeat(FAILED));
        assertTrue(response.commands().contains(FORGET), "the deferred forget is sent");
        assertTrue(response.fencingToken() > FIRST_TOKEN, "a higher token fences off the abandoned launch");
    }

    @Test
    void attemptWhoseLaunchWasAnsweredIsForgottenOnlyUnderHigherToken() {
        launchDirectly();
        responseTo(nextHeartbeat());
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(FAILED));
        assertTrue(response.commands().contains(FORGET));
        assertTrue(response.fencingToken() > FIRST_TOKEN, "the worker refuses copies of the answered launch");
    }

    @Test
    void attemptIsNotForgottenByCommandWhileResponseIsInFlight() {
        launchDirectly();
        assertTrue(responseTo(nextHeartbeat()).commands().contains(LAUNCH));
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
        responseTo(nextHeartbeat());
        timeOutCommand();
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    FIRST_TOKEN,
                    responseTo(nextHeartbeat(RUNNING)).fencingToken(),
                    "the other copy has no effect while the worker holds the attempt");
        }
        responseTo(nextHeartbeat(FAILED));
        applyAttempts();
        Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(FAILED));
        assertTrue(response.commands().contains(FORGET));
        assertTrue(response.fencingToken() > FIRST_TOKEN);
    }
}
