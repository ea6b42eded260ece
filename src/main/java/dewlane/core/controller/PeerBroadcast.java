package dewlane.core.controller;

import dewlane.core.fleet.Machine;
import dewlane.core.job.Cancellations;
import dewlane.core.membership.Membership;
import dewlane.core.message.Context;
import dewlane.core.message.Effect;
import dewlane.core.model.PeerStatus;
import dewlane.core.model.PeerStatus.PeerMachine;
import dewlane.core.scheduling.Placement;
import dewlane.core.store.Replica;
import java.util.ArrayList;
import java.util.List;

/** Tells the other controllers about this one and the machines of its part. It only adds speed. */
final class PeerBroadcast {
    /** Machines that one message tells of: a controller that is alone for a while may have all of them. */
    private static final int MACHINES_A_PAGE = 300;
    /** What peers are told costs each of them something, so the more there are, the seldomer; at most so seldom. */
    private static final long LONGEST_PAUSE_MS = 2000;

    private static final long PAUSE_PER_PEER_MS = 1000 / 3;

    private final Context context;
    private final Replica replica;
    private final Membership membership;
    private final Cancellations cancellations;
    private final Placement placement;
    private long toldAt = Long.MIN_VALUE / 2;

    PeerBroadcast(
            Context context, Replica replica, Membership membership, Cancellations cancellations, Placement placement) {
        this.context = context;
        this.replica = replica;
        this.membership = membership;
        this.cancellations = cancellations;
        this.placement = placement;
    }

    /** Passes on at once what this controller has confirmed: others' watches may be refused just now. */
    void tick() {
        if (cancellations.takeNews() && membership.joined()) {
            context.emit(new Effect.TellPeers(List.of(status(List.of()))));
        }
    }

    /** Tells of all machines, if it is time again. */
    void slowTick() {
        long pause = Math.min(
                LONGEST_PAUSE_MS, PAUSE_PER_PEER_MS * context.settings().peers().size());
        if (context.now() - toldAt >= pause) {
            toldAt = context.now();
            tell();
        }
    }

    private void tell() {
        if (!membership.joined()) {
            return;
        }
        List<PeerMachine> usable = new ArrayList<>();
        for (Machine m : placement.usable()) {
            usable.add(new PeerMachine(m.name, m.address, m.type, m.zone, m.spot, m.session, m.sequence));
        }
        List<PeerStatus> pages = new ArrayList<>();
        for (int from = 0; from == 0 || from < usable.size(); from += MACHINES_A_PAGE) {
            pages.add(status(usable.subList(from, Math.min(from + MACHINES_A_PAGE, usable.size()))));
        }
        context.emit(new Effect.TellPeers(pages));
    }

    private PeerStatus status(List<PeerMachine> page) {
        return new PeerStatus(
                context.settings().node(),
                replica.map().epoch(),
                membership.reachesState(),
                cancellations.toTell(),
                page);
    }
}
