package dewlane.core.model;

/**
 * A machine as the cloud lists it. The list lags behind what is true.
 *
 * @param name the machine's name; names are given in order of creation
 * @param address host and port of its worker
 * @param type name of its machine type
 * @param zone the zone that it is in
 * @param spot true for a spot instance, false for an on-demand one
 * @param state the cloud's view of it
 * @param ageS seconds since it was requested, as of the moment that the list describes
 */
public record CloudInstance(
        String name, String address, String type, String zone, boolean spot, State state, double ageS) {

    /** The cloud's view of a machine. */
    public enum State {
        /** Requested and not seen running yet; it may be up all the same. */
        STARTING,
        /** Running; a machine that has died may still be listed so for a while. */
        RUNNING,
        /** Stopped on its own, for good; nothing runs on it any more. */
        FAILED
    }
}
