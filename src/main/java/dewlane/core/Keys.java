package dewlane.core;

/** Names of the keys in the state service. Final states sort first, so that a restart can skip them. */
public final class Keys {
    public static final String ROOT = "dewlane/";
    public static final String FINALS = ROOT + "final/";
    /** Keys after this one are read at start. */
    public static final String AFTER_FINALS = ROOT + "final0";

    public static final String JOBS = ROOT + "job/";
    public static final String MACHINES = ROOT + "machine/";
    public static final String MAP = ROOT + "map";
    public static final String PRESENCE = ROOT + "node/";
    public static final String SLICES = ROOT + "slice/";
    public static final String TEAMS = ROOT + "team/";

    private Keys() {}

    public static String job(String id) {
        return JOBS + id;
    }

    public static String fin(String id) {
        return FINALS + id;
    }

    public static String slice(String job, int number) {
        return SLICES + job + "/" + number;
    }

    public static String machine(String name) {
        return MACHINES + name;
    }

    /** A record of several machines that a controller lets go; no machine's name begins with a plus. */
    public static String machines(String node, long incarnation, long number) {
        return MACHINES + "+" + node + "-" + incarnation + "-" + number;
    }

    public static String presence(String node) {
        return PRESENCE + node;
    }

    public static String team(String team) {
        return TEAMS + team;
    }
}
