package dewlane.core.model;

import java.util.List;

/**
 * What a controller tells the others about itself and its part. It only adds speed.
 *
 * @param cancelledJobs jobs whose cancellation the sender confirmed lately
 */
public record PeerStatus(
        String controller,
        long epoch,
        boolean storeReachable,
        List<String> cancelledJobs,
        List<MachineStatus> machines) {

    /** A machine of the sender's part that takes tasks, and the latest report that the sender took from it. */
    public record MachineStatus(
            String name, String address, String type, String zone, boolean spot, long incarnation, long sequence) {}
}
