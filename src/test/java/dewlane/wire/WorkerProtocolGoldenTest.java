package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.WorkerCommand;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The exact messages of the protocol between workers and controllers. A change to the code that reads or writes them
 * must not alter them.
 */
class WorkerProtocolGoldenTest {
    private static final String HEARTBEAT =
            """
            {"cask":"vm-000231","address":"10.1.0.232:9000","rack":"g8","cellar":"a","consignment":true,"pour":2,\
            "tally":88,"seal":5000000041,"recallS":29.5,"bottles":[\
            {"bottle":"wk-1/0","try":1,"condition":"pulling"},\
            {"bottle":"wk-1/1","try":2,"condition":"running"},\
            {"bottle":"wk-1/2","try":3,"condition":"saving"},\
            {"bottle":"wk-1/3","try":4,"condition":"ended","fault":"done"},\
            {"bottle":"wk-1/4","try":5,"condition":"ended","fault":"stopped","kept":true},\
            {"bottle":"wk-1/5","try":6,"condition":"ended","fault":"error","kept":false},\
            {"bottle":"wk-1/6","try":7,"condition":"ended","fault":"full"},\
            {"bottle":"wk-1/7","try":8,"condition":"ended","fault":"busy"},\
            {"bottle":"wk-1/8","try":9,"condition":"ended","fault":"no_such"},\
            {"bottle":"wk-1/9","try":10,"condition":"ended","fault":"a word of a newer worker"}]}""";

    private static final String WITHOUT_TASKS =
            """
            {"cask":"vm-1","address":"h:1","rack":"g4","cellar":"b","consignment":false,"pour":1,"tally":1,"seal":0,\
            "recallS":null,"bottles":[]}""";

    private static final List<WorkerCommand> COMMANDS = List.of(
            new WorkerCommand(WorkerCommand.Action.LAUNCH, "wk-000412", 4, 2, 0),
            new WorkerCommand(WorkerCommand.Action.STOP, "wk-000377", 1, 1, 10),
            new WorkerCommand(WorkerCommand.Action.STOP, "wk-000377", 2, 1, 0.5),
            new WorkerCommand(WorkerCommand.Action.FORGET, "wk-000398", 0, 1, 0));

    private static final String COMMANDS_JSON =
            """
            "orders":[{"order":"launch","bottle":"wk-000412/4","try":2},\
            {"order":"stop","bottle":"wk-000377/1","try":1,"restS":10.0},\
            {"order":"stop","bottle":"wk-000377/2","try":1,"restS":0.5},\
            {"order":"forget","bottle":"wk-000398/0","try":1}]""";

    private static TaskStatus task(int number, Phase phase, ExitReason end, boolean saved) {
        return new TaskStatus("wk-1", number, number + 1, phase, end, saved);
    }

    @Test
    void pathsAreFixed() {
        assertEquals("/v1/report", WorkerProtocol.HEARTBEAT_PATH);
        assertEquals("/do", WorkerProtocol.COMMAND_PATH);
    }

    @Test
    void heartbeatWithEveryTaskStateIsRead() throws IOException {
        List<TaskStatus> tasks = List.of(
                task(0, Phase.FETCHING, null, false),
                task(1, Phase.RUNNING, null, false),
                task(2, Phase.SAVING, null, false),
                task(3, Phase.EXITED, ExitReason.DONE, false),
                task(4, Phase.EXITED, ExitReason.STOPPED, true),
                task(5, Phase.EXITED, ExitReason.ERROR, false),
                task(6, Phase.EXITED, ExitReason.NO_ROOM, false),
                task(7, Phase.EXITED, ExitReason.BUSY, false),
                task(8, Phase.EXITED, ExitReason.UNKNOWN, false),
                task(9, Phase.EXITED, ExitReason.ERROR, false));
        Heartbeat expected =
                new Heartbeat("vm-000231", "10.1.0.232:9000", "g8", "a", true, 2, 88, 5_000_000_041L, 29.5, tasks);
        assertEquals(expected, WorkerProtocol.parseHeartbeat(GoldenMessages.bytes(HEARTBEAT)));
    }

    @Test
    void heartbeatWithoutTasksAndTerminationNoticeIsRead() throws IOException {
        Heartbeat expected = new Heartbeat("vm-1", "h:1", "g4", "b", false, 1, 1, 0, Double.NaN, List.of());
        assertEquals(expected, WorkerProtocol.parseHeartbeat(GoldenMessages.bytes(WITHOUT_TASKS)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"cask\":\"vm-000231\" | \"cask\":\"\"     | not a report",
                "\"address\":           | \"x\":            | not a report",
                "\"rack\":              | \"x\":            | not a report",
                "\"cellar\":            | \"x\":            | not a report",
                "\"pour\":2             | \"pour\":0        | not a report",
                "\"wk-1/0\"             | \"wk-1\"          | field bottle: expected JOB/INDEX, got wk-1",
                "\"pulling\"            | \"asleep\"        "
                        + "| field condition: expected pulling, running, saving or ended, got asleep"
            })
    void malformedHeartbeatIsRejected(String good, String bad, String reason) {
        byte[] body = GoldenMessages.bytes(HEARTBEAT.replace(good, bad));
        IOException error = assertThrows(IOException.class, () -> WorkerProtocol.parseHeartbeat(body));
        assertEquals(reason, error.getMessage());
    }

    @Test
    void answerWithEveryKindOfCommandIsWritten() {
        GoldenMessages.assertMessage(
                "{\"seal\":5000000041," + COMMANDS_JSON + "}",
                WorkerProtocol.heartbeatAnswer(5_000_000_041L, COMMANDS));
    }

    @Test
    void answerWithoutCommandsIsWritten() {
        GoldenMessages.assertMessage("{\"seal\":41,\"orders\":[]}", WorkerProtocol.heartbeatAnswer(41, List.of()));
    }

    @Test
    void directCommandIsWritten() {
        GoldenMessages.assertMessage(
                "{\"seal\":41,\"pour\":3," + COMMANDS_JSON + "}", WorkerProtocol.commandRequest(3, 41, COMMANDS));
    }

    @Test
    void redirectNamesTheControllerIfThereIsOne() {
        GoldenMessages.assertMessage("{\"steward\":\"cask-2\"}", WorkerProtocol.redirectAnswer("cask-2"));
        GoldenMessages.assertMessage("{}", WorkerProtocol.redirectAnswer(null));
    }
}
