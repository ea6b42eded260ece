package dewlane.core.schema;

/** Names of the keys in the state service. Final states sort first, so that a restart can skip them. */
public final class StoreKeys {
    public static final String ROOT = "dewlane/";
    public static final String FINALS = ROOT + "final/";
    /** Keys after this one are read at start. */
    public static final String AFTER_FINALS = ROOT + "final0";

    public static final String JOBS = ROOT + "job/";
    public static final String MACHINES = ROOT + "machine/";
    public static final String MAP = ROOT + "map";
    public static final String PRESENCE = ROOT + "node/";
    public static final String SLICES = ROOT + "slice/";
    /** Never set: reading it tells the latest revision. */
    public static final String NONE = ROOT + "none";

    public static final String TEAMS = ROOT + "team/";

    private StoreKeys() {}

    /** True if this version knows what the key is for. */
    public static boolean known(String key) {
        return key != null
                && (key.startsWith(JOBS)
                        || key.startsWith(SLICES)
                        || key.startsWith(FINALS)
                        || key.startsWith(MACHINES)
                        || key.startsWith(PRESENCE)
                        || key.startsWith(TEAMS)
                        || key.equals(MAP));
    }

    /** The key of a job that is not over. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** The key of a job that is over. */
    public static String fin(String id) {
        return FINALS + id;
    }

    /** The key of a slice of a job. */
    public static String slice(String job, int number) {
        return SLICES + job + "/" + number;
    }

    /** The key of a machine's record. */
    public static String machine(String name) {
        return MACHINES + name;
    }

    /** A record of several machines that a controller lets go; no machine's name begins with a plus. */
    public static String machines(String node, long incarnation, long number) {
        return MACHINES + "+" + node + "-" + incarnation + "-" + number;
    }

    /** The key that lives as long as a controller's lease. */
    public static String presence(String node) {
        return PRESENCE + node;
    }

    /** The key of a team's use. */
    public static String team(String team) {
        return TEAMS + team;
    }
}
