package dewlane.core.autoscaling;

import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;

/**
 * Manages the cloud's instances while this controller leads: creates them for unmet demand and deletes those that are
 * decommissioned. Which idle machines are decommissioned is decided by each partition's owner (see {@link ScaleIn}).
 */
public final class Autoscaler {
    private final ControllerContext context;
    private final Membership membership;
    private final CloudPoller poller;
    private final InstanceInventory inventory;
    private final DecommissionProcessor decommissions;
    private final ScaleOut scaleOut;
    private boolean leading;
    private long leadingSinceMs;
    /** True once this leader knows what its predecessor created, so that it does not create it again. */
    private boolean fleetKnown;

    /** Leads by the given steps. */
    public Autoscaler(
            ControllerContext context,
            Membership membership,
            CloudPoller poller,
            InstanceInventory inventory,
            DecommissionProcessor decommissions,
            ScaleOut scaleOut) {
        this.context = context;
        this.membership = membership;
        this.poller = poller;
        this.inventory = inventory;
        this.decommissions = decommissions;
        this.scaleOut = scaleOut;
    }

    /** Keeps the catalog current; the leader also keeps the list of instances, deletes and creates some. */
    public void tick() {
        poller.pollCatalog();
        if (!membership.isLeader()) {
            stopLeading();
            return;
        }
        if (!leading) {
            startLeading();
        }
        poller.pollInstances();
        if (!membership.isStoreReachable() || !poller.hasCatalog()) {
            return;
        }
        scaleOut.expireRequests();
        inventory.detectBooted();
        decommissions.process();
        inventory.decommissionOverdue();
        if (poller.knowsFleet(context.nowMs() - leadingSinceMs)) {
            fleetKnown = true;
            scaleOut.run();
        }
    }

    private void startLeading() {
        leading = true;
        leadingSinceMs = context.nowMs();
        context.info("became leader, managing instances");
    }

    private void stopLeading() {
        leading = false;
        fleetKnown = false;
        inventory.clear();
        scaleOut.clear();
    }

    /** A page of the list of instances was read. */
    public void onInstancesListed(Input.InstancesListed in) {
        inventory.onListed(in.machines());
    }

    /** A deletion was answered. */
    public void onInstancesDeleted(Input.InstancesDeleted in) {
        inventory.onDeleted(in);
        if (membership.isLeader()) {
            decommissions.process();
        }
    }

    /** A request for instances was answered. */
    public void onInstancesCreated(Input.InstancesCreated in) {
        boolean known = scaleOut.onInstancesCreated(in);
        if (known && fleetKnown && membership.isLeader()) {
            scaleOut.run();
        }
    }
}
