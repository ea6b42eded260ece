package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Report.End;
import dewlane.core.Report.Phase;
import dewlane.core.Report.TaskState;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A worker that was told to forget an attempt starts it anew when a copy of its launch arrives under a token that still
 * holds. So an attempt is forgotten under its launch's token only once no copy can arrive any more.
 */
class ForgetOrderTest extends ControllerFixture {
    private static final Order LAUNCH = new Order(Order.Kind.LAUNCH, JOB, 0, 1, 0);
    private static final Order FORGET = new Order(Order.Kind.FORGET, JOB, 0, 1, 0);
    private static final TaskState FAILED = new TaskState(JOB, 0, 1, Phase.EXITED, End.ERROR, false);
    private static final TaskState RUNNING = new TaskState(JOB, 0, 1, Phase.RUNNING, null, false);

    private long sequence = 2;

    private Report nextHeartbeat(TaskState... tasks) {
        return heartbeat(1, ++sequence, FIRST_TOKEN, tasks);
    }

    private Effect.AnswerReport replyTo(Report heartbeat) {
        effects.clear();
        receiveHeartbeat(300, 100 + sequence, heartbeat);
        return takeFirst(Effect.AnswerReport.class);
    }

    private void applyAttempts(Attempt... attempts) {
        applySlice(2, attempts.length == 0 ? 2 : attempts.length, attempts);
    }

    private void launchDirectly() {
        connectWorker();
        applyJob(job(2, 1));
        effects.clear();
        applyAttempts(attempt(0, 1));
        Effect.Command command = takeFirst(Effect.Command.class);
        assertEquals(List.of(LAUNCH), command.orders());
        assertEquals(FIRST_TOKEN, command.token());
    }

    private void giveUpOnCommand() {
        receive(10, new Input.CommandAnswered(MACHINE, FIRST_TOKEN, true, null));
    }

    @Test
    void attemptIsNotForgottenWhileDirectLaunchIsUnderWay() {
        launchDirectly();
        assertTrue(replyTo(nextHeartbeat()).orders().contains(LAUNCH), "the reply to a heartbeat launches it too");
        replyTo(nextHeartbeat(FAILED));
        applyAttempts();
        Effect.AnswerReport reply = replyTo(nextHeartbeat(FAILED));
        assertFalse(
                reply.token() == FIRST_TOKEN && reply.orders().contains(FORGET),
                "forgotten while the command that launches it may still arrive");
        giveUpOnCommand();
        reply = replyTo(nextHeartbeat(FAILED));
        assertTrue(reply.orders().contains(FORGET), "the held back order follows");
        assertTrue(reply.token() > FIRST_TOKEN, "and what was given up on is fenced off");
    }

    @Test
    void attemptIsForgottenUnderSameTokenOnceDirectLaunchIsAnswered() {
        launchDirectly();
        replyTo(nextHeartbeat());
        receive(10, new Input.CommandAnswered(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        Effect.AnswerReport reply = replyTo(nextHeartbeat(FAILED));
        assertTrue(reply.orders().contains(FORGET));
        assertEquals(FIRST_TOKEN, reply.token(), "no other launch is given up on for it");
    }

    @Test
    void attemptIsNotForgottenByCommandWhileReplyToHeartbeatIsUnderWay() {
        launchDirectly();
        assertTrue(replyTo(nextHeartbeat()).orders().contains(LAUNCH));
        receive(10, new Input.CommandAnswered(MACHINE, FIRST_TOKEN, true, nextHeartbeat(FAILED)));
        applyAttempts();
        effects.clear();
        applyAttempts(new Attempt(0, 2, "m2", 1, FIRST_TOKEN, 1), attempt(1, 3));
        Effect.Command command = takeFirst(Effect.Command.class);
        assertEquals(
                List.of(new Order(Order.Kind.LAUNCH, JOB, 1, 3, 0)),
                command.orders(),
                "the worker may be handed its reply up to 4 s after it was sent");
    }

    /** One that goes on running was started by one of two copies; the other one still waits for its end. */
    @Test
    void attemptIsForgottenUnderHigherTokenHoweverLongAgoLaunchWasGivenUpOn() {
        launchDirectly();
        replyTo(nextHeartbeat());
        giveUpOnCommand();
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    FIRST_TOKEN, replyTo(nextHeartbeat(RUNNING)).token(), "its copy harms nothing while it is held");
        }
        replyTo(nextHeartbeat(FAILED));
        applyAttempts();
        Effect.AnswerReport reply = replyTo(nextHeartbeat(FAILED));
        assertTrue(reply.orders().contains(FORGET));
        assertTrue(reply.token() > FIRST_TOKEN);
    }
}
