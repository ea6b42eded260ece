package dewlane.core.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Keys of jobs and slices whose values cannot be read, by job. */
final class UnreadableKeys {
    private final Map<String, Set<String>> byJob = new HashMap<>();

    void clear() {
        byJob.clear();
    }

    /** The key of the job or of one of its slices has a value that cannot be read. */
    void markUnreadable(String job, String key) {
        byJob.computeIfAbsent(job, absent -> new HashSet<>()).add(key);
    }

    /** The key of the job or of one of its slices has a value that can be read, or is gone. */
    void markReadable(String job, String key) {
        Set<String> keys = byJob.isEmpty() ? null : byJob.get(job);
        if (keys != null && keys.remove(key) && keys.isEmpty()) {
            byJob.remove(job);
        }
    }

    /** True if something of the job cannot be read. */
    boolean contains(String job) {
        return !byJob.isEmpty() && byJob.containsKey(job);
    }

    /** Jobs of which something cannot be read. */
    Set<String> jobs() {
        return byJob.keySet();
    }
}
