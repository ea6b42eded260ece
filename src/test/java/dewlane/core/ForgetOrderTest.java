package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.Report.End;
import dewlane.core.Report.Phase;
import dewlane.core.Report.TaskState;
import dewlane.core.Value.JobRecord;
import dewlane.core.Value.Slice;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A worker that was told to forget an attempt starts it anew when a copy of its launch arrives under a token that still
 * holds. So an attempt is forgotten under its launch's token only once no copy can arrive any more.
 */
class ForgetTest extends ControllerFixture {
    private static final long TOKEN = 1L << 20;
    private static final Order LAUNCH = new Order(Order.Kind.LAUNCH, "wk-1", 0, 1, 0);
    private static final Order FORGET = new Order(Order.Kind.FORGET, "wk-1", 0, 1, 0);
    private static final TaskState FAILED = new TaskState("wk-1", 0, 1, Phase.EXITED, End.ERROR, false);
    private static final TaskState RUNNING = new TaskState("wk-1", 0, 1, Phase.RUNNING, null, false);

    private long sequence = 2;

    private Report reportOf(long token, TaskState... tasks) {
        return new Report("m1", "h:1", "box", "east", true, 1, ++sequence, token, Double.NaN, List.of(tasks));
    }

    private Effect.AnswerReport answerTo(Report report) {
        effects.clear();
        hear(300, new Input.ReportReceived(100 + sequence, report));
        return take(Effect.AnswerReport.class).get(0);
    }

    private void attemptIs(Attempt... attempts) {
        change(
                Keys.slice("wk-1", 0),
                new Slice("n0", 0, 2, attempts.length == 0 ? 2 : attempts.length, new BitSet(), List.of(attempts)));
    }

    private Effect.Command launchDirectly() {
        meet();
        change(Keys.job("wk-1"), new JobRecord(job(2, 1), List.of(), 0));
        effects.clear();
        attemptIs(new Attempt(0, 1, "m1", 1, TOKEN, 1));
        Effect.Command command = take(Effect.Command.class).get(0);
        assertEquals(List.of(LAUNCH), command.orders());
        assertEquals(TOKEN, command.token());
        return command;
    }

    private void giveUpOnCommand() {
        hear(10, new Input.CommandAnswered("m1", TOKEN, true, null));
    }

    @Test
    void notWhileADirectLaunchIsUnderWay() {
        launchDirectly();
        assertTrue(answerTo(reportOf(TOKEN)).orders().contains(LAUNCH), "the answer to a report launches it too");
        answerTo(reportOf(TOKEN, FAILED));
        attemptIs();
        Effect.AnswerReport answer = answerTo(reportOf(TOKEN, FAILED));
        assertFalse(
                answer.token() == TOKEN && answer.orders().contains(FORGET),
                "forgotten while the command that launches it may still arrive");
        giveUpOnCommand();
        answer = answerTo(reportOf(TOKEN, FAILED));
        assertTrue(answer.orders().contains(FORGET), "the held back order follows");
        assertTrue(answer.token() > TOKEN, "and what was given up on is fenced off");
    }

    @Test
    void underTheSameTokenOnceTheDirectLaunchIsAnswered() {
        launchDirectly();
        answerTo(reportOf(TOKEN));
        hear(10, new Input.CommandAnswered("m1", TOKEN, true, reportOf(TOKEN, FAILED)));
        attemptIs();
        Effect.AnswerReport answer = answerTo(reportOf(TOKEN, FAILED));
        assertTrue(answer.orders().contains(FORGET));
        assertEquals(TOKEN, answer.token(), "no other launch is given up on for it");
    }

    @Test
    void notByCommandWhileTheAnswerToAReportIsUnderWay() {
        launchDirectly();
        assertTrue(answerTo(reportOf(TOKEN)).orders().contains(LAUNCH));
        hear(10, new Input.CommandAnswered("m1", TOKEN, true, reportOf(TOKEN, FAILED)));
        attemptIs();
        effects.clear();
        attemptIs(new Attempt(0, 2, "m2", 1, TOKEN, 1), new Attempt(1, 3, "m1", 1, TOKEN, 1));
        Effect.Command command = take(Effect.Command.class).get(0);
        assertEquals(
                List.of(new Order(Order.Kind.LAUNCH, "wk-1", 1, 3, 0)),
                command.orders(),
                "the worker may be handed its answer up to 4 s after it was sent");
    }

    /** One that goes on running was started by one of two copies; the other one still waits for its end. */
    @Test
    void withARaisedFenceHoweverLongAgoTheCommandWasGivenUpOn() {
        launchDirectly();
        answerTo(reportOf(TOKEN));
        giveUpOnCommand();
        for (int i = 0; i < 10; i++) {
            assertEquals(TOKEN, answerTo(reportOf(TOKEN, RUNNING)).token(), "its copy harms nothing while it is held");
        }
        answerTo(reportOf(TOKEN, FAILED));
        attemptIs();
        Effect.AnswerReport answer = answerTo(reportOf(TOKEN, FAILED));
        assertTrue(answer.orders().contains(FORGET));
        assertTrue(answer.token() > TOKEN);
    }
}
