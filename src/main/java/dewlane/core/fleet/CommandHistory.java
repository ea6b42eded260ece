package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Recent commands about single attempts on one machine. This state may be lost: commands are derived from the replica
 * and the latest heartbeat, and would only be sent again.
 */
public final class CommandHistory {
    /** The number of attempts above which those are removed whose history has no effect any more. */
    static final int MAX_OUTDATED_ATTEMPTS = 256;
    /** The time after which it makes no difference that a command was sent; longer than callers ask for. */
    private static final long COMMAND_TTL_MS = 60_000;

    private final Object2LongOpenHashMap<AttemptId> lastCommandAtMs = new Object2LongOpenHashMap<>();
    /** The attempts to be preempted, with the grace period of each in seconds. */
    private final Map<AttemptId, Double> preemptions = new HashMap<>();

    private final Object2LongOpenHashMap<AttemptId> absentSinceMs = new Object2LongOpenHashMap<>();
    /** Attempts that ran on the machine although the store did not assign them to it. */
    private final Set<AttemptId> unassigned = new HashSet<>();

    private final DeferredForgets deferredForgets = new DeferredForgets();

    /** Called when a command about the attempt is sent. */
    public void onCommandSent(AttemptId id, long nowMs) {
        lastCommandAtMs.put(id, nowMs);
    }

    /**
     * Called when the worker has reported its tasks. Removes the history of other attempts, and of commands that were
     * sent long ago, once there is much of it. Otherwise it would grow with each task that runs on the machine.
     */
    public void onReported(Set<AttemptId> reported, long nowMs) {
        if (lastCommandAtMs.size() > MAX_OUTDATED_ATTEMPTS) {
            lastCommandAtMs.values().removeIf(sentAtMs -> nowMs - sentAtMs > COMMAND_TTL_MS);
        }
        if (absentSinceMs.size() > MAX_OUTDATED_ATTEMPTS) {
            absentSinceMs.keySet().retainAll(reported);
        }
        if (unassigned.size() > MAX_OUTDATED_ATTEMPTS) {
            unassigned.retainAll(reported);
        }
    }

    /** Returns the number of entries about attempts. */
    int size() {
        return lastCommandAtMs.size() + preemptions.size() + absentSinceMs.size() + unassigned.size();
    }

    /** Returns true if a command about the attempt was sent within the given time. */
    public boolean wasCommandedWithin(AttemptId id, long nowMs, long withinMs) {
        return lastCommandAtMs.containsKey(id) && nowMs - lastCommandAtMs.getLong(id) <= withinMs;
    }

    /**
     * Requests that an attempt be stopped although its job continues.
     *
     * @param graceS seconds in which the task may save a checkpoint
     * @return false if the attempt was already to be preempted; its grace period then stays unchanged
     */
    public boolean preempt(AttemptId id, double graceS) {
        return preemptions.putIfAbsent(id, graceS) == null;
    }

    /** Returns the attempts to be preempted. */
    public Set<AttemptId> preempted() {
        return Collections.unmodifiableSet(preemptions.keySet());
    }

    /** Returns true if the attempt is to be preempted. */
    public boolean isPreempted(AttemptId id) {
        return preemptions.containsKey(id);
    }

    /** Returns the grace period, in seconds, of an attempt that is to be preempted. */
    public double preemptionGraceS(AttemptId id) {
        return preemptions.get(id);
    }

    /**
     * Returns for how long the replica has been observed not to contain the attempt, counted from the first call about
     * it.
     */
    public long absentFromReplicaForMs(AttemptId id, long nowMs) {
        absentSinceMs.putIfAbsent(id, nowMs);
        return nowMs - absentSinceMs.getLong(id);
    }

    /** Records that the attempt runs although the store does not assign it; returns false if that was recorded. */
    public boolean addUnassigned(AttemptId id) {
        return unassigned.add(id);
    }

    /** Returns the ended attempts that the worker cannot be told to forget yet. */
    public DeferredForgets deferredForgets() {
        return deferredForgets;
    }

    /** Called when the store no longer holds the attempt. */
    void onAttemptRemoved(AttemptId id) {
        preemptions.remove(id);
    }

    /** Clears the history, which is invalid once the worker has a new incarnation or the machine a new owner. */
    public void clear() {
        lastCommandAtMs.clear();
        preemptions.clear();
        absentSinceMs.clear();
        unassigned.clear();
        deferredForgets.clear();
    }
}
