package dewlane.core.schema;

/**
 * A key of the store taken apart: what kind of value it holds, and which job, slice, machine or controller it names.
 */
public sealed interface StoreKey {
    /** The result of a job that has ended. */
    record OfJobResult(String job) implements StoreKey {}

    /** The record of a job that has not ended. */
    record OfJob(String job) implements StoreKey {}

    /** One slice of a job. */
    record OfSlice(String job, int number) implements StoreKey {}

    /** A key among those of the slices that names no slice number. */
    record OfMalformedSlice(String job) implements StoreKey {}

    /** A decommission record, of the machine of that name or, with a batch's name, of several. */
    record OfDecommission(String name) implements StoreKey {}

    /** The presence of a controller. */
    record OfPresence(String controller) implements StoreKey {}

    /** The use of a team. */
    record OfTeamUsage(String team) implements StoreKey {}

    /** The partition map. */
    record OfPartitionMap() implements StoreKey {}

    /** A key that this version does not know. */
    record Unknown() implements StoreKey {}

    /** Takes a key apart. */
    static StoreKey parse(String key) {
        if (key.startsWith(StoreKeys.SLICES)) {
            return parseSlice(nameAfter(StoreKeys.SLICES, key));
        } else if (key.startsWith(StoreKeys.JOBS)) {
            return new OfJob(nameAfter(StoreKeys.JOBS, key));
        } else if (key.startsWith(StoreKeys.JOB_RESULTS)) {
            return new OfJobResult(nameAfter(StoreKeys.JOB_RESULTS, key));
        } else if (key.startsWith(StoreKeys.DECOMMISSIONS)) {
            return new OfDecommission(nameAfter(StoreKeys.DECOMMISSIONS, key));
        } else if (key.startsWith(StoreKeys.PRESENCES)) {
            return new OfPresence(nameAfter(StoreKeys.PRESENCES, key));
        } else if (key.startsWith(StoreKeys.TEAM_USAGES)) {
            return new OfTeamUsage(nameAfter(StoreKeys.TEAM_USAGES, key));
        }
        return key.equals(StoreKeys.PARTITION_MAP) ? new OfPartitionMap() : new Unknown();
    }

    private static String nameAfter(String prefix, String key) {
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
