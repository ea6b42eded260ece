package dewlane.core;

import java.util.List;

/** What a controller tells the others about itself and its part. It only adds speed. */
public record PeerStatus(String node, long epoch, boolean stateReachable, List<PeerMachine> machines) {

    /** A machine of the sender's part that takes tasks, and the latest report that the sender took from it. */
    public record PeerMachine(String name, String address, String type, String zone, boolean spot, long session,
                              long sequence) { }
}
