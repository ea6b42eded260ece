package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ended attempts that one machine's worker still reports, because they may be forgotten only with a higher fencing
 * token. They are gathered, so that one raise of the fence serves several of them.
 */
public final class DeferredForgets {
    /** A worker's report is at most 64 KiB, about 100 bytes for each attempt. */
    static final int MAX_ATTEMPTS = 200;

    /** When the forget of each attempt was first deferred, the oldest one first. */
    private final Map<AttemptId, Long> sinceMs = new LinkedHashMap<>();

    /** Adds an attempt; returns false if its forget was already deferred. */
    public boolean add(AttemptId id, long nowMs) {
        return sinceMs.putIfAbsent(id, nowMs) == null;
    }

    /** Removes attempts that are forgotten now. */
    public void removeAll(Collection<AttemptId> ids) {
        ids.forEach(sinceMs::remove);
    }

    /** Returns true if no forget is deferred. */
    public boolean isEmpty() {
        return sinceMs.isEmpty();
    }

    /** Returns the attempts, the oldest one first. */
    Collection<AttemptId> attempts() {
        return Collections.unmodifiableSet(sinceMs.keySet());
    }

    /** Returns the time since the oldest forget was first deferred; 0 if none is deferred. */
    long longestMs(long nowMs) {
        return sinceMs.isEmpty() ? 0 : nowMs - sinceMs.values().iterator().next();
    }

    /** Returns true if a forget has been deferred for the given time, or if no more can be. */
    boolean isDue(long nowMs, long maxMs) {
        return sinceMs.size() >= MAX_ATTEMPTS || (!sinceMs.isEmpty() && longestMs(nowMs) >= maxMs);
    }

    /** Removes all attempts. */
    void clear() {
        sinceMs.clear();
    }
}
