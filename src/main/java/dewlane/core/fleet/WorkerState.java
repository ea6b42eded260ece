package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.TaskStatus;
import java.util.HashMap;
import java.util.Map;

/** The state of a machine's worker according to its latest heartbeat, whether this controller or a peer received it. */
public final class WorkerState {
    private long incarnation;
    private long sequence;
    private long fencingToken;
    private Map<AttemptId, TaskStatus> tasks = Map.of();

    /** Returns the worker's incarnation, which increases with each of its starts; 0 before the first heartbeat. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the sequence number of the latest heartbeat within the incarnation; 0 before the first. */
    public long sequence() {
        return sequence;
    }

    /** Returns true until this controller accepts a first heartbeat or a peer reports one. */
    public boolean hasNoHeartbeat() {
        return fencingToken == 0 && sequence == 0;
    }

    /** Returns true if the given heartbeat is newer than the latest one. */
    public boolean isOlderThan(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(incarnation, sequence);
    }

    /** Returns the attempts that the worker reports, with their status. */
    public Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    /** Returns the worker's status of an attempt, or null if the worker does not report it. */
    public TaskStatus task(AttemptId id) {
        return tasks.get(id);
    }

    /** Returns true if the worker reports the attempt. */
    public boolean reports(AttemptId id) {
        return tasks.containsKey(id);
    }

    /** Replaces the state by that of an accepted heartbeat. */
    public void accept(Heartbeat heartbeat) {
        incarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
        fencingToken = heartbeat.fencingToken();
        tasks = new HashMap<>();
        for (TaskStatus status : heartbeat.tasks()) {
            tasks.put(status.attemptId(), status);
        }
    }

    /** Called when a peer received a heartbeat with these numbers; numbers older than the latest are ignored. */
    void advanceTo(long newIncarnation, long newSequence) {
        if (newIncarnation < incarnation) {
            return;
        }
        sequence = newIncarnation == incarnation ? Math.max(sequence, newSequence) : newSequence;
        incarnation = newIncarnation;
    }

    /** Clears the reported attempts when the machine has a new owner, which has to receive a heartbeat first. */
    void clearTasks() {
        tasks = Map.of();
    }
}
