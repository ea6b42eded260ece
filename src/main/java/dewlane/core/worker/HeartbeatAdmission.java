package dewlane.core.worker;

import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Authority;
import dewlane.core.membership.AuthorityMonitor;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Heartbeat;

/**
 * Decides which heartbeats this controller may accept.
 *
 * <p>A controller with a stale replica may miss a cancellation. It stops renewing its workers' leases early enough for
 * the leases to expire before the cancellation deadline: see {@link Authority} and {@link CancellationTracker}.
 */
public final class HeartbeatAdmission {
    /** How a heartbeat is handled. */
    enum Verdict {
        /** The heartbeat is from a machine in this controller's partition and newer than the latest one. */
        ACCEPT,
        /** The worker is to try the next controller. */
        REJECT,
        /** The worker is to send its heartbeats to its machine's owner. */
        REDIRECT
    }

    private final MachineRegistry machines;
    private final AuthorityMonitor authority;
    private final ControllerCounters counters;
    private final MisroutedHeartbeatPolicy misrouted;

    /** Creates an admission that decides by this controller's authority and the owners of the machines. */
    public HeartbeatAdmission(
            ControllerContext context,
            MachineRegistry machines,
            PeerTable peers,
            Membership membership,
            AuthorityMonitor authority,
            ControllerCounters counters) {
        this.machines = machines;
        this.authority = authority;
        this.counters = counters;
        this.misrouted = new MisroutedHeartbeatPolicy(context, machines, peers, membership);
    }

    /** Decides about a heartbeat whose worker awaits the response; may claim a machine that another controller owns. */
    Verdict admit(Heartbeat heartbeat) {
        if (!passesCommonChecks(heartbeat)) {
            return Verdict.REJECT;
        }
        Machine machine = machines.getOrCreate(heartbeat.machine());
        if (!machines.owns(machine)) {
            return misrouted.claimIfOwnerUnreachable(machine, heartbeat) ? Verdict.REJECT : Verdict.REDIRECT;
        }
        return isNewer(machine, heartbeat) ? Verdict.ACCEPT : Verdict.REJECT;
    }

    /** Returns true if a heartbeat that answers a direct command may be accepted. */
    boolean admitCommandAnswer(Heartbeat heartbeat) {
        if (!passesCommonChecks(heartbeat)) {
            return false;
        }
        Machine machine = machines.getOrCreate(heartbeat.machine());
        return machines.owns(machine) && isNewer(machine, heartbeat);
    }

    private boolean passesCommonChecks(Heartbeat heartbeat) {
        counters.increment(Counter.HEARTBEATS);
        if (!authority.current().mayRenewWorkerLeases()) {
            counters.increment(Counter.HEARTBEATS_REJECTED);
            return false;
        }
        return !machines.isTerminated(heartbeat.machine());
    }

    /**
     * Returns true if the heartbeat is newer than the latest one and its fencing token was not issued by a later owner.
     * Copies of heartbeats may be delayed, and one that is not newer proves nothing.
     */
    private static boolean isNewer(Machine machine, Heartbeat heartbeat) {
        return heartbeat.fencingToken() <= machine.fencingToken()
                && machine.worker().isOlderThan(heartbeat);
    }
}
