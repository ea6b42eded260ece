package dewlane.core.schema;

/** Names of the keys in the store; {@link StoreKey} takes them apart. Job results sort first: a listing skips them. */
public final class StoreKeys {
    /** The prefix of all keys. */
    public static final String ROOT = "dewlane/";
    /** The prefix of the results of jobs that have ended. */
    public static final String JOB_RESULTS = ROOT + "final/";
    /** Sorts after all job results and before all other keys: a listing begins after it. */
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
    /** Never set: reading it tells the latest revision. */
    public static final String REVISION_PROBE = ROOT + "none";
    /** The prefix of the teams' usage records. */
    public static final String TEAM_USAGES = ROOT + "team/";

    private StoreKeys() {}

    /** True if this version knows what the key is for; false for null. */
    public static boolean isKnown(String key) {
        return key != null && !(StoreKey.parse(key) instanceof StoreKey.Unknown);
    }

    /** The key of the record of a job that has not ended. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** The key of the result of a job that has ended. */
    public static String jobResult(String id) {
        return JOB_RESULTS + id;
    }

    /** The key of a slice of a job. */
    public static String slice(String job, int number) {
        return SLICES + job + "/" + number;
    }

    /** The key of the decommission record of one machine. */
    public static String decommission(String machine) {
        return DECOMMISSIONS + machine;
    }

    /**
     * The key of a decommission record of several machines; no machine's name begins with a plus.
     *
     * @param controller the writer's name
     * @param incarnation the writer's incarnation
     * @param number grows with each batch of this incarnation
     */
    public static String decommissionBatch(String controller, long incarnation, long number) {
        return DECOMMISSIONS + "+" + controller + "-" + incarnation + "-" + number;
    }

    /** The key of a controller's presence, which lives as long as its lease. */
    public static String presence(String controller) {
        return PRESENCES + controller;
    }

    /** The key of a team's usage record. */
    public static String teamUsage(String team) {
        return TEAM_USAGES + team;
    }
}
