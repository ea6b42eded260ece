package dewlane.core.model;

/** A command to a worker. */
public record WorkerCommand(Action action, String job, int task, int attempt, double graceS) {

    /** What to do with the attempt. */
    public enum Action {
        LAUNCH,
        STOP,
        FORGET
    }
}
