package dewlane.core.autoscaling;

import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;

/**
 * Manages the cloud's instances while this controller is the leader: creates instances for unmet demand and deletes
 * those that are decommissioned. The owner of each partition decides which idle machines are decommissioned (see
 * {@link ScaleIn}).
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
    /** False until the instances that a previous leader created are listed, so that they are not created twice. */
    private boolean scaleOutAllowed;

    /** Creates an autoscaler that runs the given components in turn. */
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

    /**
     * Polls the cloud's catalog. On the leader, also polls the list of instances, and deletes and creates instances.
     * Called periodically.
     */
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
        if (poller.isScaleOutAllowed(context.nowMs() - leadingSinceMs)) {
            scaleOutAllowed = true;
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
        scaleOutAllowed = false;
        inventory.clear();
        scaleOut.clear();
    }

    /** Called when a page of the list of instances was read. */
    public void onInstancesListed(Input.InstancesListed in) {
        inventory.onListed(in.machines());
    }

    /** Called when a deletion of instances was answered or timed out. */
    public void onInstancesDeleted(Input.InstancesDeleted in) {
        inventory.onDeleted(in);
        if (membership.isLeader()) {
            decommissions.process();
        }
    }

    /** Called when a request to create instances was answered or timed out. */
    public void onInstancesCreated(Input.InstancesCreated in) {
        boolean wasInFlight = scaleOut.onInstancesCreated(in);
        if (wasInFlight && scaleOutAllowed && membership.isLeader()) {
            scaleOut.run();
        }
    }
}
