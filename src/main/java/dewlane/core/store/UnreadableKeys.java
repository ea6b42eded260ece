package dewlane.core.store;

import dewlane.core.schema.StoreKeys;
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

    /** The value of a job's or slice's key cannot be read. */
    void add(String key) {
        byJob.computeIfAbsent(jobOf(key), k -> new HashSet<>()).add(key);
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

    private static String jobOf(String key) {
        if (key.startsWith(StoreKeys.JOBS)) {
            return key.substring(StoreKeys.JOBS.length());
        }
        String name = key.substring(StoreKeys.SLICES.length());
        int slash = name.lastIndexOf('/');
        return slash < 0 ? name : name.substring(0, slash);
    }
}
