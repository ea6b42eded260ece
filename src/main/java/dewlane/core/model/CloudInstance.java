package dewlane.core.model;

/**
 * An instance as the cloud lists it. The list lags behind the actual state.
 *
 * @param name the name of the instance, and of its machine; the cloud assigns names in order of creation
 * @param address host and port of its worker
 * @param type name of its machine type
 * @param zone name of its zone
 * @param spot true for a spot instance, false for an on-demand one
 * @param state its state according to the cloud
 * @param ageS seconds from its request to the point in time that the list describes
 */
public record CloudInstance(
        String name, String address, String type, String zone, boolean spot, State state, double ageS) {

    /** The state of an instance according to the cloud. */
    public enum State {
        /** Requested and not listed as running yet; the machine may already be up. */
        STARTING,
        /** Running; an instance that has failed may still be listed as running for a while. */
        RUNNING,
        /** Terminated without a request to delete it; nothing runs on it, and it does not start again. */
        FAILED
    }
}
