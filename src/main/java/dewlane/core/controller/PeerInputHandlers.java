package dewlane.core.controller;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;
import dewlane.core.model.PeerStatus;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;

/** Handles status broadcasts of peers, which only let this controller react sooner; safety does not depend on them. */
final class PeerInputHandlers {
    private final PeerTable peers;
    private final MachineRegistry machines;
    private final Membership membership;
    private final CancellationTracker cancellations;
    private final StoreReplica replica;
    private final SchedulingTrigger scheduling;

    PeerInputHandlers(
            PeerTable peers,
            MachineRegistry machines,
            Membership membership,
            CancellationTracker cancellations,
            StoreReplica replica,
            SchedulingTrigger scheduling) {
        this.peers = peers;
        this.machines = machines;
        this.membership = membership;
        this.cancellations = cancellations;
        this.replica = replica;
        this.scheduling = scheduling;
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.PeerStatusReceived.class, in -> onStatus(in.status()));
    }

    private void onStatus(PeerStatus status) {
        peers.onStatusReceived(status);
        machines.discoverFrom(status);
        membership.onPeerEpoch(status.epoch());
        status.cancelledJobs().forEach(this::onCancelled);
    }

    private void onCancelled(String job) {
        JobEntry entry = cancellations.onPeerCancellation(job) ? replica.job(job) : null;
        if (entry != null) {
            // The next commands to the machines of the job stop its tasks.
            machines.markForPlanningOf(entry);
            scheduling.request();
        }
    }
}
