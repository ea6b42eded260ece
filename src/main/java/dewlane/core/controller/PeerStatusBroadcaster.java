package dewlane.core.controller;

import dewlane.core.fleet.Machine;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.model.PeerStatus;
import dewlane.core.model.PeerStatus.MachineStatus;
import dewlane.core.scheduling.SchedulingCycle;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.List;

/** Tells the other controllers about this one and the machines of its part. It only adds speed. */
final class PeerStatusBroadcaster {
    /** Machines that one message tells of: a controller that is alone for a while may have all of them. */
    private static final int MACHINES_A_PAGE = 300;
    /** What peers are told costs each of them something, so the more there are, the seldomer; at most so seldom. */
    private static final long LONGEST_PAUSE_MS = 2000;

    private static final long PAUSE_PER_PEER_MS = 1000 / 3;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final Membership membership;
    private final CancellationTracker cancellations;
    private final SchedulingCycle placement;
    private long toldAt = Long.MIN_VALUE / 2;

    PeerStatusBroadcaster(
            ControllerContext context,
            StoreReplica replica,
            Membership membership,
            CancellationTracker cancellations,
            SchedulingCycle placement) {
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.cancellations = cancellations;
        this.placement = placement;
    }

    /** Passes on at once what this controller has confirmed: others' watches may be refused just now. */
    void tick() {
        if (cancellations.takeAnnouncementDue() && membership.isMember()) {
            context.emit(new Effect.BroadcastStatus(List.of(status(List.of()))));
        }
    }

    /** Tells of all machines, if it is time again. */
    void slowTick() {
        long pause = Math.min(
                LONGEST_PAUSE_MS, PAUSE_PER_PEER_MS * context.settings().peers().size());
        if (context.nowMs() - toldAt >= pause) {
            toldAt = context.nowMs();
            tell();
        }
    }

    private void tell() {
        if (!membership.isMember()) {
            return;
        }
        List<MachineStatus> usable = new ArrayList<>();
        for (Machine machine : placement.schedulableMachines()) {
            usable.add(new MachineStatus(
                    machine.name(),
                    machine.address(),
                    machine.typeName(),
                    machine.zone(),
                    machine.isSpot(),
                    machine.worker().incarnation(),
                    machine.worker().sequence()));
        }
        List<PeerStatus> pages = new ArrayList<>();
        for (int from = 0; from == 0 || from < usable.size(); from += MACHINES_A_PAGE) {
            pages.add(status(usable.subList(from, Math.min(from + MACHINES_A_PAGE, usable.size()))));
        }
        context.emit(new Effect.BroadcastStatus(pages));
    }

    private PeerStatus status(List<MachineStatus> page) {
        cancellations.removeExpired();
        return new PeerStatus(
                context.settings().controllerName(),
                replica.partitionMap().epoch(),
                membership.reachesStore(),
                cancellations.jobsToAnnounce(),
                page);
    }
}
