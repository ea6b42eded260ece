package dewlane.core.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The keys of job records and slices whose values cannot be read, by job. */
final class UnreadableKeys {
    private final Map<String, Set<String>> byJob = new HashMap<>();

    void clear() {
        byJob.clear();
    }

    /** Records that the value of the key, which belongs to the job or one of its slices, cannot be read. */
    void markUnreadable(String job, String key) {
        byJob.computeIfAbsent(job, absent -> new HashSet<>()).add(key);
    }

    /** Records that the value of the key can be read, or that the key was deleted. */
    void markReadable(String job, String key) {
        Set<String> keys = byJob.isEmpty() ? null : byJob.get(job);
        if (keys != null && keys.remove(key) && keys.isEmpty()) {
            byJob.remove(job);
        }
    }

    /** Returns true if the job's record or one of its slices cannot be read. */
    boolean contains(String job) {
        return !byJob.isEmpty() && byJob.containsKey(job);
    }

    /** Returns the jobs whose record or one of whose slices cannot be read. */
    Set<String> jobs() {
        return byJob.keySet();
    }
}
