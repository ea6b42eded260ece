package dewlane.core.model;

/** A machine as the cloud's lagging list shows it. */
public record CloudInstance(
        String name, String address, String type, String zone, boolean spot, State state, double ageS) {

    /** The cloud's view of a machine. */
    public enum State {
        STARTING,
        RUNNING,
        FAILED
    }
}
