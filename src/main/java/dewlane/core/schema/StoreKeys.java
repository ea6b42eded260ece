package dewlane.core.schema;

/**
 * Builds the keys in the store; {@link StoreKey} parses them. The prefix of job results sorts before all others, so
 * that a listing can skip all results by its start key.
 */
public final class StoreKeys {
    /** The prefix of all keys. */
    public static final String ROOT = "dewlane/";
    /** The prefix of the results of jobs that have ended. */
    public static final String JOB_RESULTS = ROOT + "final/";
    /** The start key of listings: sorts after all job results and before all other keys. */
    public static final String AFTER_JOB_RESULTS = ROOT + "final0";
    /** The prefix of the records of jobs that have not ended. */
    public static final String JOBS = ROOT + "job/";
    /** The prefix of the decommission records. */
    public static final String DECOMMISSIONS = ROOT + "machine/";
    /** The key of the partition map. */
    public static final String PARTITION_MAP = ROOT + "map";
    /** The prefix of the controllers' presences. */
    public static final String PRESENCES = ROOT + "node/";
    /** The prefix of the slices of jobs. */
    public static final String SLICES = ROOT + "slice/";
    /** A key that is never set. It is read because each answer contains the store's latest revision. */
    public static final String REVISION_PROBE = ROOT + "none";
    /** The prefix of the teams' usage records. */
    public static final String TEAM_USAGES = ROOT + "team/";

    private StoreKeys() {}

    /** Returns true if this release supports the kind of the key; false if the key is null. */
    public static boolean isKnown(String key) {
        return key != null && !(StoreKey.parse(key) instanceof StoreKey.Unknown);
    }

    /** Returns the key of the record of a job that has not ended. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** Returns the key of the result of a job that has ended. */
    public static String jobResult(String id) {
        return JOB_RESULTS + id;
    }

    /** Returns the key of a slice of a job. */
    public static String slice(String job, int number) {
        return SLICES + job + "/" + number;
    }

    /** Returns the key of the decommission record of one machine. */
    public static String decommission(String machine) {
        return DECOMMISSIONS + machine;
    }

    /**
     * Returns the key of a decommission record of several machines. It differs from the key of any single machine, as
     * no machine's name begins with a plus.
     *
     * @param controller the writer's name
     * @param incarnation the writer's incarnation
     * @param number a number that increases with each batch of this incarnation
     */
    public static String decommissionBatch(String controller, long incarnation, long number) {
        return DECOMMISSIONS + "+" + controller + "-" + incarnation + "-" + number;
    }

    /** Returns the key of a controller's presence, which the store deletes when the controller's lease expires. */
    public static String presence(String controller) {
        return PRESENCES + controller;
    }

    /** Returns the key of a team's usage record. */
    public static String teamUsage(String team) {
        return TEAM_USAGES + team;
    }
}
