package dewlane.core.model;

import java.util.List;

/**
 * What a controller tells the others about itself and its part. It only adds speed.
 *
 * @param cancelled jobs whose cancellation the sender confirmed lately
 */
public record PeerStatus(
        String node, long epoch, boolean stateReachable, List<String> cancelled, List<MachineStatus> machines) {

    /** A machine of the sender's part that takes tasks, and the latest report that the sender took from it. */
    public record MachineStatus(
            String name, String address, String type, String zone, boolean spot, long session, long sequence) {}
}
