package dewlane.core.model;

import java.util.List;

/**
 * The status of a controller and its partition, which it broadcasts to its peers. It only lets them react sooner; no
 * safety property depends on it.
 *
 * @param controller name of the sender
 * @param epoch epoch of the partition map in the sender's replica
 * @param storeReachable true if the sender reaches the store and its replica is current
 * @param cancelledJobs ids of jobs whose cancellation the sender recently confirmed
 * @param machines schedulable machines of the sender's partition, or one page of them
 */
public record PeerStatus(
        String controller,
        long epoch,
        boolean storeReachable,
        List<String> cancelledJobs,
        List<MachineStatus> machines) {

    /**
     * A schedulable machine of the sender's partition, and the latest heartbeat that the sender accepted from it.
     *
     * @param name name of the machine
     * @param address host and port of its worker
     * @param type name of its machine type
     * @param zone name of its zone
     * @param spot true for a spot instance
     * @param incarnation the worker's incarnation in the latest heartbeat
     * @param sequence the sequence number of the latest heartbeat
     */
    public record MachineStatus(
            String name, String address, String type, String zone, boolean spot, long incarnation, long sequence) {}
}
