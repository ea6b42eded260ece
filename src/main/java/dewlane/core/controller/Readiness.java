package dewlane.core.controller;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.store.ReplicaFreshness;
import dewlane.core.store.StoreConnectivity;
import dewlane.core.store.StoreWatcher;

/** Determines whether a controller can serve requests and whether the load balancer should send requests to it. */
final class Readiness {
    private static final long STORE_CONTACT_TIMEOUT_MS = 2500;

    private final StoreWatcher storeWatcher;
    private final Membership membership;
    private final MachineRegistry machines;
    private final StoreConnectivity storeConnectivity;
    private final ReplicaFreshness freshness;
    private final PeerTable peers;

    Readiness(
            StoreWatcher storeWatcher,
            Membership membership,
            MachineRegistry machines,
            StoreConnectivity storeConnectivity,
            ReplicaFreshness freshness,
            PeerTable peers) {
        this.storeWatcher = storeWatcher;
        this.membership = membership;
        this.machines = machines;
        this.storeConnectivity = storeConnectivity;
        this.freshness = freshness;
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
        return isReady() && (canAnswerUsers() || !peers.anyPeerReachesStore());
    }

    /** Contact with the store alone proves nothing: requests about jobs also need a replica that advances. */
    private boolean canAnswerUsers() {
        return storeConnectivity.timeSinceLastContactMs() < STORE_CONTACT_TIMEOUT_MS && freshness.allowsReads();
    }
}
