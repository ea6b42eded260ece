package dewlane.core.model;

import java.util.List;

/**
 * What a controller broadcasts to its peers about itself and its partition. It only adds speed: nothing that has to be
 * safe rests on it.
 *
 * @param controller name of the sender
 * @param epoch epoch of the partition map that the sender knows
 * @param storeReachable true if the sender reaches the store
 * @param cancelledJobs ids of jobs whose cancellation the sender confirmed lately
 * @param machines schedulable machines of the sender's partition, or one page of them
 */
public record PeerStatus(
        String controller,
        long epoch,
        boolean storeReachable,
        List<String> cancelledJobs,
        List<MachineStatus> machines) {

    /**
     * A schedulable machine of the sender's partition, with the latest heartbeat that the sender took from it.
     *
     * @param name name of the machine
     * @param address host and port of its worker
     * @param type name of its machine type
     * @param zone the zone that it is in
     * @param spot true for a spot instance
     * @param incarnation the worker's incarnation in that heartbeat
     * @param sequence the sequence number of that heartbeat
     */
    public record MachineStatus(
            String name, String address, String type, String zone, boolean spot, long incarnation, long sequence) {}
}
