package dewlane.core.controller;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.StoreWatcher;

/** Whether a controller can serve requests, and whether the load balancer should send it some. */
final class Readiness {
    private static final long MAX_STORE_SILENCE_MS = 2500;

    private final StoreWatcher storeWatcher;
    private final Membership membership;
    private final MachineRegistry machines;
    private final StoreConnectivity storeConnectivity;
    private final PeerTable peers;

    Readiness(
            StoreWatcher storeWatcher,
            Membership membership,
            MachineRegistry machines,
            StoreConnectivity storeConnectivity,
            PeerTable peers) {
        this.storeWatcher = storeWatcher;
        this.membership = membership;
        this.machines = machines;
        this.storeConnectivity = storeConnectivity;
        this.peers = peers;
    }

    /** See {@link Controller#isReady()}. */
    boolean isReady() {
        return storeWatcher.isLoaded()
                && membership.isMember()
                && !machines.types().isEmpty();
    }

    /** See {@link Controller#isHealthy()}. */
    boolean isHealthy() {
        return isReady()
                && (storeConnectivity.timeSinceLastContactMs() < MAX_STORE_SILENCE_MS || !peers.anyPeerReachesStore());
    }
}
