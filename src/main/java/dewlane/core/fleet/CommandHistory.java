package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What this controller remembers of commands about single attempts on one machine. All of it can be lost: commands
 * follow from the replica and the latest heartbeat, and are then just sent again.
 */
public final class CommandHistory {
    private final Object2LongOpenHashMap<AttemptId> commandedAtMs = new Object2LongOpenHashMap<>();
    /** Attempts to be preempted, and the grace period that each gets, in seconds. */
    private final Map<AttemptId, Double> preemptions = new HashMap<>();

    private final Object2LongOpenHashMap<AttemptId> unaccountedSinceMs = new Object2LongOpenHashMap<>();

    /** A command about the attempt is sent. */
    public void onCommandSent(AttemptId id, long nowMs) {
        commandedAtMs.put(id, nowMs);
    }

    /** True if a command about the attempt was sent within the given time. */
    public boolean wasCommandedWithin(AttemptId id, long nowMs, long withinMs) {
        return commandedAtMs.containsKey(id) && nowMs - commandedAtMs.getLong(id) <= withinMs;
    }

    /**
     * Has an attempt stopped although its job goes on.
     *
     * @param graceS seconds in which it may save a checkpoint
     * @return false if it was to be stopped already; its grace period then stays as it was
     */
    public boolean preempt(AttemptId id, double graceS) {
        return preemptions.putIfAbsent(id, graceS) == null;
    }

    /** The attempts to be preempted. */
    public Set<AttemptId> preempted() {
        return Collections.unmodifiableSet(preemptions.keySet());
    }

    /** True if the attempt is to be preempted. */
    public boolean isPreempted(AttemptId id) {
        return preemptions.containsKey(id);
    }

    /** The grace period of an attempt that is to be preempted, in seconds. */
    public double preemptionGraceS(AttemptId id) {
        return preemptions.get(id);
    }

    /** For how long it has been noticed that the replica does not explain the attempt, from its first call on. */
    public long absentFromReplicaForMs(AttemptId id, long nowMs) {
        unaccountedSinceMs.putIfAbsent(id, nowMs);
        return nowMs - unaccountedSinceMs.getLong(id);
    }

    /** The store does not hold the attempt any more. */
    void attemptRemoved(AttemptId id) {
        preemptions.remove(id);
    }

    /** The worker has another incarnation, or the machine another owner: nothing remembered holds any more. */
    public void clear() {
        commandedAtMs.clear();
        preemptions.clear();
        unaccountedSinceMs.clear();
    }
}
