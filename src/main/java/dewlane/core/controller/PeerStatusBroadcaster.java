package dewlane.core.controller;

import dewlane.core.fleet.Machine;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.model.PeerStatus;
import dewlane.core.model.PeerStatus.MachineStatus;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.store.ReplicaFreshness;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.List;

/**
 * Broadcasts the status of this controller and the machines of its partition to its peers. The broadcasts only let
 * peers react sooner; safety does not depend on them.
 */
final class PeerStatusBroadcaster {
    /** Keeps messages within the size limit of 64 KiB; a controller that is temporarily alone may own all machines. */
    private static final int MAX_MACHINES_PER_MESSAGE = 300;
    /** The interval grows with the number of peers, since each peer has to process each broadcast. */
    private static final long INTERVAL_PER_PEER_MS = 1000 / 3;

    private static final long MAX_INTERVAL_MS = 2000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final ReplicaFreshness freshness;
    private final CancellationTracker cancellations;
    private final SchedulingCycle schedulingCycle;
    private long broadcastAtMs = ControllerContext.NEVER_MS;

    PeerStatusBroadcaster(
            ControllerContext context,
            StoreReplica replica,
            Membership membership,
            ReplicaFreshness freshness,
            CancellationTracker cancellations,
            SchedulingCycle schedulingCycle) {
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.freshness = freshness;
        this.cancellations = cancellations;
        this.schedulingCycle = schedulingCycle;
    }

    /** Announces newly confirmed cancellations at once, as a peer may be unable to watch the store at the moment. */
    void announceCancellations() {
        if (cancellations.takeAnnouncementDue() && membership.isMember()) {
            cancellations.removeExpired();
            context.emit(new Effect.BroadcastStatus(List.of(status(List.of()))));
        }
    }

    /** Broadcasts the status with all machines if the interval has passed. */
    void broadcastIfDue() {
        long intervalMs = Math.min(
                MAX_INTERVAL_MS,
                INTERVAL_PER_PEER_MS * context.settings().peers().size());
        if (context.nowMs() - broadcastAtMs >= intervalMs) {
            broadcastAtMs = context.nowMs();
            broadcast();
        }
    }

    private void broadcast() {
        if (!membership.isMember()) {
            return;
        }
        cancellations.removeExpired();
        List<MachineStatus> machines = schedulingCycle.schedulableMachines().stream()
                .map(PeerStatusBroadcaster::statusOf)
                .toList();
        List<PeerStatus> pages = new ArrayList<>();
        for (int from = 0; from == 0 || from < machines.size(); from += MAX_MACHINES_PER_MESSAGE) {
            int to = Math.min(from + MAX_MACHINES_PER_MESSAGE, machines.size());
            pages.add(status(machines.subList(from, to)));
        }
        context.emit(new Effect.BroadcastStatus(pages));
    }

    private static MachineStatus statusOf(Machine machine) {
        return new MachineStatus(
                machine.name(),
                machine.address(),
                machine.typeName(),
                machine.zone(),
                machine.isSpot(),
                machine.worker().incarnation(),
                machine.worker().sequence());
    }

    private PeerStatus status(List<MachineStatus> machines) {
        return new PeerStatus(
                context.settings().controllerName(),
                replica.partitionMap().epoch(),
                membership.isStoreReachable() && freshness.allowsReads(),
                cancellations.jobsToAnnounce(),
                machines);
    }
}
