package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.AttemptId;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what is remembered about the attempts on a machine, and for how long. */
class CommandHistoryTest {
    private static final int TASKS = 10_000;
    private static final long TASK_MS = 1000;

    private final CommandHistory history = new CommandHistory();

    /** Guards against memory that grows with each task that ever ran on a machine. */
    @Test
    void historyOfTasksThatAreGoneIsBounded() {
        long nowMs = 0;
        for (int task = 0; task < TASKS; task++) {
            nowMs += TASK_MS;
            AttemptId id = new AttemptId("wk-1", task, 1);
            history.onCommandSent(id, nowMs);
            history.absentFromReplicaForMs(id, nowMs);
            assertTrue(history.addUnassigned(id));
            history.onReported(Set.of(id), nowMs);
            assertTrue(history.size() <= 3 * (CommandHistory.MAX_OUTDATED_ATTEMPTS + 1), "entries " + history.size());
        }
    }

    @Test
    void historyOfReportedTasksIsKept() {
        AttemptId reported = new AttemptId("wk-2", 0, 1);
        history.absentFromReplicaForMs(reported, 0);
        history.addUnassigned(reported);
        for (int task = 0; task < TASKS; task++) {
            AttemptId other = new AttemptId("wk-1", task, 1);
            history.onCommandSent(other, 100);
            history.absentFromReplicaForMs(other, 100);
            history.addUnassigned(other);
        }
        history.onReported(Set.of(reported), 1000);
        assertEquals(1000, history.absentFromReplicaForMs(reported, 1000));
        assertFalse(history.addUnassigned(reported));
        assertTrue(history.wasCommandedWithin(new AttemptId("wk-1", 0, 1), 1000, 2000), "a recent command is kept");
    }
}
