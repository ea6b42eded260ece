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
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A worker that has forgotten an attempt starts it again if another copy of its launch arrives with a fencing token
 * that is still valid, whether that launch was answered or not. So a forget carries a higher token than the launch, and
 * is deferred while a raised fence would invalidate other launches.
 */
class ForgetOrderTest extends ControllerFixture {
    private static final WorkerCommand LAUNCH = new WorkerCommand(WorkerCommand.Action.LAUNCH, JOB, 0, 1, 0);
    private static final WorkerCommand FORGET = new WorkerCommand(WorkerCommand.Action.FORGET, JOB, 0, 1, 0);
    private static final WorkerCommand LAUNCH_OTHER = new WorkerCommand(WorkerCommand.Action.LAUNCH, JOB, 1, 3, 0);
    private static final WorkerCommand FORGET_OTHER = new WorkerCommand(WorkerCommand.Action.FORGET, JOB, 1, 3, 0);
    private static final TaskStatus FAILED = new TaskStatus(JOB, 0, 1, Phase.EXITED, ExitReason.ERROR, false);
    private static final TaskStatus RUNNING = new TaskStatus(JOB, 0, 1, Phase.RUNNING, null, false);

    private static final TaskStatus OTHER_RUNNING = new TaskStatus(JOB, 1, 3, Phase.RUNNING, null, false);
    private static final TaskStatus OTHER_FAILED = new TaskStatus(JOB, 1, 3, Phase.EXITED, ExitReason.ERROR, false);

    private static final long HEARTBEAT_MS = 300;
    /** Forgets are gathered for the worker's lease of 30 s, and sent with the response to the next heartbeat. */
    private static final int MAX_HEARTBEATS_TO_FORGET = 102;

    private long sequence = 2;

    private Heartbeat nextHeartbeat(TaskStatus... tasks) {
        return heartbeat(1, ++sequence, FIRST_TOKEN, tasks);
    }

    /** Returns the response of the controller, whose replica is up to date, to a heartbeat. */
    private Effect.AnswerHeartbeat responseTo(Heartbeat heartbeat) {
        receiveChanges(0, List.of());
        effects.clear();
        receiveHeartbeat(HEARTBEAT_MS, 100 + sequence, heartbeat);
        return takeFirst(Effect.AnswerHeartbeat.class);
    }

    /** Sends heartbeats until a response tells the worker to forget the first attempt, and returns that response. */
    private Effect.AnswerHeartbeat firstResponseWithForget(TaskStatus... tasks) {
        for (int i = 0; i < MAX_HEARTBEATS_TO_FORGET; i++) {
            Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(tasks));
            if (response.commands().contains(FORGET)) {
                return response;
            }
        }
        throw new AssertionError("no response tells the worker to forget the attempt");
    }

    /** Sends as many heartbeats as a forget takes at most, and asserts that it is deferred. */
    private void assertForgetDeferred(TaskStatus... tasks) {
        for (int i = 0; i < MAX_HEARTBEATS_TO_FORGET; i++) {
            Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(tasks));
            assertFalse(response.commands().contains(FORGET), "the forget is deferred");
            assertEquals(FIRST_TOKEN, response.fencingToken(), "the fence is not raised");
        }
    }

    private void applyAttempts(Attempt... attempts) {
        applySlice(2, attempts.length == 0 ? 2 : attempts.length, attempts);
    }

    /** The first task runs on another machine now, and the other task is launched on this one. */
    private void moveFirstTaskAndLaunchOther() {
        applySlice(2, 3, new Attempt(0, 2, "m2", 1, FIRST_TOKEN, 1), attempt(1, 3));
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
        assertForgetDeferred(FAILED);
        timeOutCommand();
        Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(FAILED));
        assertTrue(response.commands().contains(FORGET), "the deferred forget is sent");
        assertTrue(response.fencingToken() > FIRST_TOKEN, "a higher token fences off the abandoned launch");
    }

    @Test
    void attemptWhoseLaunchWasAnsweredIsForgottenOnlyUnderHigherToken() {
        launchDirectly();
        responseTo(nextHeartbeat());
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        Effect.AnswerHeartbeat response = firstResponseWithForget(FAILED);
        assertTrue(response.fencingToken() > FIRST_TOKEN, "the worker refuses copies of the answered launch");
    }

    @Test
    void attemptIsNotForgottenByDirectCommandUnderTokenOfItsLaunch() {
        launchDirectly();
        assertTrue(responseTo(nextHeartbeat()).commands().contains(LAUNCH));
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        effects.clear();
        moveFirstTaskAndLaunchOther();
        Effect.SendCommands command = takeFirst(Effect.SendCommands.class);
        assertEquals(List.of(LAUNCH_OTHER), command.commands());
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
        assertTrue(firstResponseWithForget(FAILED).fencingToken() > FIRST_TOKEN);
    }

    @Test
    void forgetDoesNotFenceOffLaunchThatIsPending() {
        launchDirectly();
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        moveFirstTaskAndLaunchOther();
        timeOutCommand();
        assertForgetDeferred(FAILED);
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED, OTHER_RUNNING)));
        Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(FAILED, OTHER_RUNNING));
        assertEquals(List.of(FORGET), response.commands());
        assertTrue(response.fencingToken() > FIRST_TOKEN);
    }

    @Test
    void oneRaiseOfFenceServesAllForgetsOfMachine() {
        launchDirectly();
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        moveFirstTaskAndLaunchOther();
        receive(10, new Input.CommandCompleted(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED, OTHER_FAILED)));
        applySlice(2, 3, new Attempt(0, 2, "m2", 1, FIRST_TOKEN, 1));
        Effect.AnswerHeartbeat response = firstResponseWithForget(FAILED, OTHER_FAILED);
        assertEquals(Set.of(FORGET, FORGET_OTHER), Set.copyOf(response.commands()));
        assertEquals(FIRST_TOKEN + 1, response.fencingToken());
    }

    @Test
    void attemptOfEarlierOwnerIsForgottenAtOnceWithoutRaisingFence() {
        connectWorker();
        applyJob(job(2, 1));
        applyAttempts();
        Effect.AnswerHeartbeat response = responseTo(nextHeartbeat(FAILED));
        assertEquals(List.of(FORGET), response.commands());
        assertEquals(FIRST_TOKEN, response.fencingToken());
    }
}
