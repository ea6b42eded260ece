package dewlane.core;

import dewlane.core.Report.TaskState;
import java.util.List;

/** Heartbeats of one machine, m1, for tests of single parts of a controller. */
final class TestReports {
    private TestReports() {}

    static Report of(long incarnation, long sequence, long token, List<TaskState> tasks) {
        return new Report("m1", "h:1", "box", "east", true, incarnation, sequence, token, Double.NaN, tasks);
    }
}
