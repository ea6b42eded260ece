package dewlane.core.model;

/** A command to a worker. */
public record Order(Kind kind, String job, int task, int attempt, double graceS) {

    /** What to do with the attempt. */
    public enum Kind {
        LAUNCH,
        STOP,
        FORGET
    }
}
