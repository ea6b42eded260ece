package dewlane.core.schema;

/**
 * A parsed key of the store: the kind of value that it holds, and the job, slice, machine or controller that it names.
 */
public sealed interface StoreKey {
    /** The result of a job that has ended. */
    record OfJobResult(String job) implements StoreKey {}

    /** The record of a job that has not ended. */
    record OfJob(String job) implements StoreKey {}

    /** One slice of a job. */
    record OfSlice(String job, int number) implements StoreKey {}

    /** A key with the prefix of the slices that does not end in a slice number. */
    record OfMalformedSlice(String job) implements StoreKey {}

    /** A decommission record of one machine, which the key names, or of several, with the name of a batch. */
    record OfDecommission(String name) implements StoreKey {}

    /** The presence of a controller. */
    record OfPresence(String controller) implements StoreKey {}

    /** The usage record of a team. */
    record OfTeamUsage(String team) implements StoreKey {}

    /** The partition map. */
    record OfPartitionMap() implements StoreKey {}

    /** A key of a kind that this release does not support. */
    record Unknown() implements StoreKey {}

    /** Parses a key. */
    static StoreKey parse(String key) {
        if (key.startsWith(StoreKeys.SLICES)) {
            return parseSlice(nameWithoutPrefix(StoreKeys.SLICES, key));
        } else if (key.startsWith(StoreKeys.JOBS)) {
            return new OfJob(nameWithoutPrefix(StoreKeys.JOBS, key));
        } else if (key.startsWith(StoreKeys.JOB_RESULTS)) {
            return new OfJobResult(nameWithoutPrefix(StoreKeys.JOB_RESULTS, key));
        } else if (key.startsWith(StoreKeys.DECOMMISSIONS)) {
            return new OfDecommission(nameWithoutPrefix(StoreKeys.DECOMMISSIONS, key));
        } else if (key.startsWith(StoreKeys.PRESENCES)) {
            return new OfPresence(nameWithoutPrefix(StoreKeys.PRESENCES, key));
        } else if (key.startsWith(StoreKeys.TEAM_USAGES)) {
            return new OfTeamUsage(nameWithoutPrefix(StoreKeys.TEAM_USAGES, key));
        }
        return key.equals(StoreKeys.PARTITION_MAP) ? new OfPartitionMap() : new Unknown();
    }

    private static String nameWithoutPrefix(String prefix, String key) {
        return key.substring(prefix.length());
    }

    private static StoreKey parseSlice(String name) {
        int slash = name.lastIndexOf('/');
        String job = name.substring(0, Math.max(0, slash));
        try {
            return new OfSlice(job, Integer.parseInt(name.substring(slash + 1)));
        } catch (NumberFormatException e) {
            return new OfMalformedSlice(job);
        }
    }
}
