package dewlane.core.autoscaling;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.store.StoreReplica;

/** Polls the cloud's catalog of machine types and its list of instances, within the cloud's request rate. */
public final class CloudPoller {
    private static final long CATALOG_INTERVAL_MS = 60_000;
    /** The interval until the catalog has been read for the first time. */
    private static final long FIRST_CATALOG_INTERVAL_MS = 1500;

    private static final long MIN_LIST_INTERVAL_MS = 2000;
    /** The fraction of the cloud's request rate that reading the list may use. */
    private static final double LIST_RATE_SHARE = 0.5;
    /** The longest time for which a new leader waits for a list before it scales out. */
    private static final long MAX_FIRST_LIST_WAIT_MS = 10_000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final InstanceInventory inventory;
    private long catalogReadAtMs = ControllerContext.NEVER_MS;
    private long listReadAtMs = ControllerContext.NEVER_MS;

    /** Creates a poller whose list interval depends on the number of instances in the inventory. */
    public CloudPoller(
            ControllerContext context, StoreReplica replica, MachineRegistry machines, InstanceInventory inventory) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.inventory = inventory;
    }

    /** Returns true once the machine types have been read. */
    boolean hasCatalog() {
        return !machines.types().isEmpty();
    }

    /** Reads the catalog if its interval has passed. */
    void pollCatalog() {
        long intervalMs = hasCatalog() ? CATALOG_INTERVAL_MS : FIRST_CATALOG_INTERVAL_MS;
        if (context.nowMs() - catalogReadAtMs > intervalMs) {
            catalogReadAtMs = context.nowMs();
            context.emit(new Effect.ListMachineTypes());
        }
    }

    /** Reads the list of instances if its interval has passed. */
    void pollInstances() {
        if (context.nowMs() - listReadAtMs >= listIntervalMs()) {
            listReadAtMs = context.nowMs();
            context.emit(new Effect.ListInstances());
        }
    }

    /** Returns a longer interval for a longer list, so that requests are left to create and delete instances. */
    private long listIntervalMs() {
        double pages = Math.ceil(inventory.listedCount() / (double) Effect.ListInstances.PAGE_SIZE);
        double listRequestsPerS = LIST_RATE_SHARE * context.settings().cloudRequestsPerS();
        return (long) Math.max(MIN_LIST_INTERVAL_MS, 1000 * pages / listRequestsPerS);
    }

    /**
     * Returns true if a new leader may scale out. It waits until the cloud's list, which lags, shows the instances that
     * a previous leader created, but no longer than {@link #MAX_FIRST_LIST_WAIT_MS}. The first leader of a deployment
     * does not wait, since no instances were created before it. It is recognized by a partition map that has no more
     * epochs than members.
     *
     * @param leadingForMs the time for which this controller has been the leader
     */
    boolean isScaleOutAllowed(long leadingForMs) {
        return (leadingForMs > 1000 * context.settings().cloudListLagS() && inventory.hasList())
                || leadingForMs > MAX_FIRST_LIST_WAIT_MS
                || replica.partitionMap().epoch()
                        <= replica.partitionMap().members().size();
    }
}
