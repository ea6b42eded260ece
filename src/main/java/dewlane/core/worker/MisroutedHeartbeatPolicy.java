package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Heartbeat;

/**
 * Decides whether to claim a machine whose worker sends heartbeats here although another controller owns it.
 *
 * <p>A worker that sends heartbeats here although its owner is up cannot reach that owner: it was already redirected
 * there and has come back. Unless this controller claims the machine, the worker's lease expires if the network
 * partition between the worker and its owner lasts.
 */
final class MisroutedHeartbeatPolicy {
    /** A worker that cannot reach its owner has tried all other controllers and is back here within this time. */
    private static final long RETURN_WINDOW_MS = 30_000;

    /** How long a worker must have been sending heartbeats here before its machine is claimed. */
    private static final long MIN_MISROUTED_MS = 500;

    /** The same while the owner lists the machine as one from which it receives heartbeats. */
    private static final long MIN_MISROUTED_WHILE_LISTED_MS = 3500;

    /** An owner from which no status was received for longer than this may be down. */
    private static final long OWNER_STATUS_TTL_MS = 4000;

    /** How long the worker of a machine with a new owner may take to find that owner. */
    private static final long NEW_OWNER_GRACE_PERIOD_MS = 10_000;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final PeerTable peers;
    private final Membership membership;

    MisroutedHeartbeatPolicy(
            ControllerContext context, MachineRegistry machines, PeerTable peers, Membership membership) {
        this.context = context;
        this.machines = machines;
        this.peers = peers;
        this.membership = membership;
    }

    /** Claims the machine for this controller if its worker cannot reach its owner; returns true if so. */
    boolean claimIfOwnerUnreachable(Machine machine, Heartbeat heartbeat) {
        boolean claimed = isOwnerUnreachable(machine, heartbeat);
        if (claimed) {
            membership.claimMachine(machine.name());
        }
        return claimed;
    }

    /**
     * Returns true once the worker has come back with a heartbeat that is newer than its first one here and than the
     * latest one that its owner has received. Delayed copies of old heartbeats do not cause a claim.
     */
    private boolean isOwnerUnreachable(Machine machine, Heartbeat heartbeat) {
        machines.discover(
                heartbeat.machine(), heartbeat.address(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        if (!membership.isStoreReachable()
                || machine.address() == null
                || !machine.worker().isOlderThan(heartbeat)) {
            return false;
        }
        if (!isOwnerEstablished(machine)) {
            machine.misroutedHeartbeats().reset();
            return false;
        }
        long misroutedMs = machine.misroutedHeartbeats().record(heartbeat, context.nowMs(), RETURN_WINDOW_MS);
        return misroutedMs > (machines.isListedByOwner(machine) ? MIN_MISROUTED_WHILE_LISTED_MS : MIN_MISROUTED_MS);
    }

    /**
     * Returns true if the worker should have reached its owner by now. Workers whose owner is down try one controller
     * after the other until the partition map names a new owner, and workers with a new owner still have to find it.
     * Neither justifies a claim, since each claim creates a new partition map, which invalidates every launch in
     * flight.
     */
    private boolean isOwnerEstablished(Machine machine) {
        return peers.receivedStatusWithin(machine.owner(), OWNER_STATUS_TTL_MS)
                && context.nowMs() - machine.ownerSinceMs() >= NEW_OWNER_GRACE_PERIOD_MS;
    }
}
