package dewlane.core.model;

import dewlane.core.model.Heartbeat.TaskStatus;
import java.util.List;

/** Heartbeats of a machine, m1, for unit tests. */
public final class TestHeartbeats {
    private TestHeartbeats() {}

    /** Returns a heartbeat with the given tasks. */
    public static Heartbeat of(long incarnation, long sequence, long token, List<TaskStatus> tasks) {
        return new Heartbeat("m1", "h:1", "box", "east", true, incarnation, sequence, token, Double.NaN, tasks);
    }
}
