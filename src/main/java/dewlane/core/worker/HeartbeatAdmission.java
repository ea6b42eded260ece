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
 * <p>A controller whose view is stale may miss a cancellation. It lets its workers' leases expire while there is still
 * time for that: see {@link Authority} and {@link CancellationTracker}.
 */
public final class HeartbeatAdmission {
    /** What becomes of a heartbeat. */
    enum Verdict {
        /** It is from a machine of this partition and newer than the latest one. */
        ACCEPT,
        /** The worker is to try the next controller. */
        REJECT,
        /** The worker is to go to its machine's owner. */
        REDIRECT
    }

    private final MachineRegistry machines;
    private final AuthorityMonitor authority;
    private final ControllerCounters counters;
    private final MisroutedHeartbeatPolicy misrouted;

    /** Admission by this controller's authority and the owners of the machines. */
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

    /** Decides about a heartbeat for whose response its worker waits; a machine of another owner may be claimed. */
    Verdict admit(Heartbeat heartbeat) {
        if (!isFromActiveMachine(heartbeat)) {
            return Verdict.REJECT;
        }
        Machine machine = machines.getOrCreate(heartbeat.machine());
        if (!machines.owns(machine)) {
            return misrouted.claimIfOwnerUnreachable(machine, heartbeat) ? Verdict.REJECT : Verdict.REDIRECT;
        }
        return isNews(machine, heartbeat) ? Verdict.ACCEPT : Verdict.REJECT;
    }

    /** True if a heartbeat that answers a direct command may be accepted. */
    boolean admitCommandAnswer(Heartbeat heartbeat) {
        if (!isFromActiveMachine(heartbeat)) {
            return false;
        }
        Machine machine = machines.getOrCreate(heartbeat.machine());
        return machines.owns(machine) && isNews(machine, heartbeat);
    }

    private boolean isFromActiveMachine(Heartbeat heartbeat) {
        counters.increment(Counter.HEARTBEATS);
        if (!authority.current().mayRenewWorkerLeases()) {
            counters.increment(Counter.HEARTBEATS_REJECTED);
            return false;
        }
        return !machines.isTerminated(heartbeat.machine());
    }

    /** Copies may arrive late: a heartbeat that is no newer than the latest one proves nothing. */
    private static boolean isNews(Machine machine, Heartbeat heartbeat) {
        return heartbeat.fencingToken() <= machine.fencingToken()
                && machine.worker().isOlderThan(heartbeat);
    }
}
