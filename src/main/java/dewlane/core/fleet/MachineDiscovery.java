package dewlane.core.fleet;

import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.PeerStatus;

/** Adds machines listed by the cloud or by peers, from which this controller may not have received a heartbeat. */
final class MachineDiscovery {
    /** How long a peer's listing of a machine is valid. */
    private static final long PEER_LISTING_TTL_MS = 5000;

    private final ControllerContext context;
    private final PeerTable peers;
    private final MachineTable machines;
    private final OwnedMachines owned;

    MachineDiscovery(ControllerContext context, PeerTable peers, MachineTable machines, OwnedMachines owned) {
        this.context = context;
        this.peers = peers;
        this.machines = machines;
        this.owned = owned;
    }

    /**
     * Adds a machine or updates its description. What the machine's own heartbeats stated is more reliable and is not
     * overwritten.
     *
     * @return the machine, or null if it is proven terminated
     */
    Machine discover(String name, String address, String type, String zone, boolean spot) {
        if (machines.isTerminated(name)) {
            return null;
        }
        Machine machine = machines.getOrCreate(name);
        if (!machine.reachability().wasConfirmed() || machine.typeName() == null) {
            machine.describe(type, zone, spot);
        }
        if (machine.address() == null) {
            machine.setAddress(address);
            owned.markForPlanning(machine);
        }
        return machine;
    }

    /** Adds the machines that a peer lists: those that it owns and receives heartbeats from. */
    void discoverFrom(PeerStatus status) {
        String incarnationId = peers.incarnationId(status.controller());
        for (PeerStatus.MachineStatus listed : status.machines()) {
            Machine machine = discover(listed.name(), listed.address(), listed.type(), listed.zone(), listed.spot());
            if (machine == null) {
                continue;
            }
            machine.peerListing().record(incarnationId, context.nowMs());
            if (!owned.owns(machine)) {
                machine.worker().advanceTo(listed.incarnation(), listed.sequence());
            }
        }
    }

    /** Returns true if the machine's owner, another controller, has listed it within the last few seconds. */
    boolean isListedByOwner(Machine machine) {
        return machine.owner() != null
                && machine.peerListing()
                        .isBy(peers.incarnationId(machine.owner()), context.nowMs(), PEER_LISTING_TTL_MS);
    }
}
