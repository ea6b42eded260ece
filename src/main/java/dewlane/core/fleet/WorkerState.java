package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.TaskStatus;
import java.util.HashMap;
import java.util.Map;

/** The state of a machine's worker by its latest heartbeat, whether this controller or a peer received it. */
public final class WorkerState {
    private long incarnation;
    private long sequence;
    private long fencingToken;
    private Map<AttemptId, TaskStatus> tasks = Map.of();

    /** The worker's incarnation, which grows with each of its starts; 0 before the first heartbeat. */
    public long incarnation() {
        return incarnation;
    }

    /** The number of the latest heartbeat within the incarnation; 0 before the first. */
    public long sequence() {
        return sequence;
    }

    /** True before the first heartbeat that this controller accepts. */
    public boolean hasNoHeartbeat() {
        return fencingToken == 0 && sequence == 0;
    }

    /** True if the heartbeat is newer than the latest one. */
    public boolean isOlderThan(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(incarnation, sequence);
    }

    /** The attempts that the worker lists. */
    public Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    /** The worker's status of an attempt, or null if it does not list it. */
    public TaskStatus task(AttemptId id) {
        return tasks.get(id);
    }

    /** True if the worker lists the attempt. */
    public boolean reports(AttemptId id) {
        return tasks.containsKey(id);
    }

    /** Takes a heartbeat in place of the latest one. */
    public void accept(Heartbeat heartbeat) {
        incarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
        fencingToken = heartbeat.fencingToken();
        tasks = new HashMap<>();
        for (TaskStatus status : heartbeat.tasks()) {
            tasks.put(status.attemptId(), status);
        }
    }

    /** A peer received a heartbeat with these numbers; an older one changes nothing. */
    void advanceTo(long newIncarnation, long newSequence) {
        if (newIncarnation < incarnation) {
            return;
        }
        sequence = newIncarnation == incarnation ? Math.max(sequence, newSequence) : newSequence;
        incarnation = newIncarnation;
    }

    /** The machine has another owner, which waits for a heartbeat of its own. */
    void forgetTasks() {
        tasks = Map.of();
    }
}
