package dewlane.core.autoscaling;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.store.StoreReplica;

/** Reads the cloud's catalog and its list of instances often enough, within the cloud's request rate. */
public final class CloudPoller {
    private static final long CATALOG_INTERVAL_MS = 60_000;
    private static final long FIRST_CATALOG_INTERVAL_MS = 1500;
    private static final long MIN_LIST_INTERVAL_MS = 2000;
    /** The part of the cloud's request rate that reading the list may take. */
    private static final double LIST_RATE_SHARE = 0.5;
    /** A new leader waits for a list for at most so long. */
    private static final long MAX_FIRST_LIST_WAIT_MS = 10_000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final InstanceInventory inventory;
    private long catalogReadAtMs = ControllerContext.NEVER_MS;
    private long listReadAtMs = ControllerContext.NEVER_MS;

    /** Polls as often as the inventory's size and the cloud's request rate allow. */
    public CloudPoller(
            ControllerContext context, StoreReplica replica, MachineRegistry machines, InstanceInventory inventory) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.inventory = inventory;
    }

    /** True once the machine types are known. */
    boolean hasCatalog() {
        return !machines.types().isEmpty();
    }

    /** Reads the catalog if it is time to. */
    void pollCatalog() {
        long intervalMs = hasCatalog() ? CATALOG_INTERVAL_MS : FIRST_CATALOG_INTERVAL_MS;
        if (context.nowMs() - catalogReadAtMs > intervalMs) {
            catalogReadAtMs = context.nowMs();
            context.emit(new Effect.ListMachineTypes());
        }
    }

    /** Reads the list of instances if it is time to. */
    void pollInstances() {
        if (context.nowMs() - listReadAtMs >= listIntervalMs()) {
            listReadAtMs = context.nowMs();
            context.emit(new Effect.ListInstances());
        }
    }

    /** A longer list is read less often, so that requests are left for creating and deleting instances. */
    private long listIntervalMs() {
        double pages = Math.ceil(inventory.listedCount() / (double) Effect.ListInstances.PAGE_SIZE);
        double listRequestsPerS = LIST_RATE_SHARE * context.settings().cloudRequestsPerS();
        return (long) Math.max(MIN_LIST_INTERVAL_MS, 1000 * pages / listRequestsPerS);
    }

    /**
     * True if what a predecessor created is known: after a new leader has led for long enough, a list shows it. The
     * first leader of a deployment has no predecessor: the partition map then has no more epochs than members.
     */
    boolean knowsFleet(long ledForMs) {
        return (ledForMs > 1000 * context.settings().cloudListLagS() && inventory.hasList())
                || ledForMs > MAX_FIRST_LIST_WAIT_MS
                || replica.partitionMap().epoch()
                        <= replica.partitionMap().members().size();
    }
}
