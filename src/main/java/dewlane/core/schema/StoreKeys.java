package dewlane.core.schema;

/** Names of the keys in the state service. Final states sort first, so that a restart can skip them. */
public final class StoreKeys {
    public static final String ROOT = "dewlane/";
    public static final String JOB_RESULTS = ROOT + "final/";
    /** Keys after this one are read at start. */
    public static final String AFTER_JOB_RESULTS = ROOT + "final0";

    public static final String JOBS = ROOT + "job/";
    public static final String DECOMMISSIONS = ROOT + "machine/";
    public static final String PARTITION_MAP = ROOT + "map";
    public static final String PRESENCES = ROOT + "node/";
    public static final String SLICES = ROOT + "slice/";
    /** Never set: reading it tells the latest revision. */
    public static final String NEVER_SET = ROOT + "none";

    public static final String TEAM_USAGES = ROOT + "team/";

    private StoreKeys() {}

    /** True if this version knows what the key is for. */
    public static boolean isKnown(String key) {
        return key != null
                && (key.startsWith(JOBS)
                        || key.startsWith(SLICES)
                        || key.startsWith(JOB_RESULTS)
                        || key.startsWith(DECOMMISSIONS)
                        || key.startsWith(PRESENCES)
                        || key.startsWith(TEAM_USAGES)
                        || key.equals(PARTITION_MAP));
    }

    /** The key of a job that is not over. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** The key of a job that is over. */
    public static String jobResult(String id) {
        return JOB_RESULTS + id;
    }

    /** The key of a slice of a job. */
    public static String slice(String job, int number) {
        return SLICES + job + "/" + number;
    }

    /** The key of a machine's record. */
    public static String decommission(String name) {
        return DECOMMISSIONS + name;
    }

    /** A record of several machines that a controller lets go; no machine's name begins with a plus. */
    public static String decommissionBatch(String node, long incarnation, long number) {
        return DECOMMISSIONS + "+" + node + "-" + incarnation + "-" + number;
    }

    /** The key that lives as long as a controller's lease. */
    public static String presence(String node) {
        return PRESENCES + node;
    }

    /** The key of a team's use. */
    public static String teamUsage(String team) {
        return TEAM_USAGES + team;
    }
}
