package dewlane.core.autoscaling;

import dewlane.core.autoscaling.InstanceRequest.InstancePool;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.Priority;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Rents machines for the demand in sight, while this controller leads. What idles goes back by its partition's owner
 * (see {@link ScaleIn}), and {@link InstanceInventory} deletes it.
 */
public final class Autoscaler {
    private static final long LIST_MS = 2000;
    /** The part of the cloud's requests that lists may take, and the machines that one of them tells of. */
    private static final double LIST_SHARE = 0.5;

    private static final int MACHINES_A_PAGE = 500;
    private static final long CATALOG_MS = 60_000;
    private static final long FIRST_CATALOG_MS = 1500;
    /** A place that gave fewer machines than asked is left alone for so long, or so long after an unclear answer. */
    private static final long SCARCE_MS = 20_000;

    private static final long UNCLEAR_MS = 3000;
    /** A rental that was not answered for so long will not be. */
    private static final long ANSWER_MS = 30_000;
    /** A new leader waits for a list for so long at most. */
    private static final long FIRST_LIST_MS = 10_000;
    /** No rental is asked for while so many are unanswered. */
    private static final int MOST_ASKED = 3;
    /** As many as the cloud rents by one request. */
    private static final int MOST_RENTED = 50;
    /** The part of a machine that a demand may lack of a whole one and still be worth no machine. */
    private static final double ROUNDED_OFF = 0.2;
    /** Work of the lowest priority has ordinary machines rented for it only after such a wait. */
    private static final long IDLE_PRIORITY_WAIT_MS = 60_000;
    /** How much dearer a type counts that other jobs need more. */
    private static final double RIVAL = 0.4;
    /** The time over which a machine's boot and its first image fetch count as lost. */
    private static final double LIFE_S = 300;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final InstanceInventory inventory;
    private final CapacityDemand demand;
    /** Rentals that the cloud has not answered yet, by request. */
    private final Map<String, InstanceRequest> asked = new HashMap<>();

    private final Map<InstancePool, Long> scarceUntil = new HashMap<>();
    private long catalogAt = Long.MIN_VALUE;
    private long listAskedAt = Long.MIN_VALUE;
    private long ledSince;
    private boolean planned;

    public Autoscaler(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            InstanceInventory inventory,
            CapacityDemand demand) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.inventory = inventory;
        this.demand = demand;
    }

    /** Keeps the catalog and the list current, and rents. */
    public void tick() {
        long now = context.nowMs();
        readCatalog();
        if (!membership.isLeader()) {
            ledSince = 0;
            planned = false;
            inventory.clear();
            asked.clear();
            return;
        }
        if (ledSince == 0) {
            ledSince = now;
            context.info("leading the fleet");
        }
        if (listAskedAt == Long.MIN_VALUE || now - listAskedAt >= listPauseMs()) {
            listAskedAt = now;
            context.emit(new Effect.ListInstances());
        }
        if (!membership.reachesStore() || machines.types().isEmpty()) {
            return;
        }
        asked.values().removeIf(r -> now - r.requestedAtMs() > ANSWER_MS);
        inventory.tick();
        if (knowsFleet()) {
            planned = true;
            scaleOut();
        }
    }

    /** A longer list is read less often, so that requests are left for renting and deleting. */
    private long listPauseMs() {
        double pages = Math.ceil(inventory.listedMachines() / (double) MACHINES_A_PAGE);
        return (long) Math.max(
                LIST_MS, 1000 * pages / (LIST_SHARE * context.settings().cloudRequestsPerS()));
    }

    private void readCatalog() {
        long every = machines.types().isEmpty() ? FIRST_CATALOG_MS : CATALOG_MS;
        if (catalogAt == Long.MIN_VALUE || context.nowMs() - catalogAt > every) {
            catalogAt = context.nowMs();
            context.emit(new Effect.ListMachineTypes());
        }
    }

    /** A new leader first waits for a list, which shows what its predecessor rented; the first one has none. */
    private boolean knowsFleet() {
        long led = context.nowMs() - ledSince;
        return led > 1000 * context.settings().cloudListLagS() && inventory.hasList()
                || led > FIRST_LIST_MS
                || replica.partitionMap().epoch()
                        <= replica.partitionMap().members().size();
    }

    /** A page of the list of instances was read. */
    public void onInstancesListed(Input.InstancesListed in) {
        inventory.onListed(in.machines());
    }

    /** A deletion was answered. */
    public void onInstancesDeleted(Input.InstancesDeleted in) {
        inventory.onDeleted(in);
        if (membership.isLeader()) {
            inventory.processDecommissions();
        }
    }

    /** A request for instances was answered. */
    public void onInstancesCreated(Input.InstancesCreated in) {
        InstanceRequest rental = asked.remove(in.requestId());
        if (rental == null) {
            return;
        }
        InstancePool place = rental.pool();
        switch (in.status()) {
            case CREATED -> {
                inventory.onCreated(in.machines(), rental);
                context.info("rented " + in.machines() + " " + place);
                if (in.machines().size() < rental.count()) {
                    scarceUntil.put(place, context.nowMs() + SCARCE_MS);
                }
            }
            case NO_CAPACITY -> {
                scarceUntil.put(place, context.nowMs() + SCARCE_MS);
                context.debug("no capacity for " + place);
            }
            // The request may be carried out late: the machines then show up in reports and lists.
            case INVALID, UNKNOWN -> scarceUntil.put(place, context.nowMs() + UNCLEAR_MS);
        }
        if (planned && membership.isLeader()) {
            scaleOut();
        }
    }

    private void scaleOut() {
        if (asked.size() >= MOST_ASKED) {
            return;
        }
        Map<InstancePool, Double> wanted = new LinkedHashMap<>();
        demand.unmetDemand(inventory.booting(), asked.values()).forEach((job, slots) -> {
            InstancePool place = cheapest(job);
            if (place != null) {
                wanted.merge(place, slots / machines.type(place.type()).capacityFor(job.job()), Double::sum);
            }
        });
        wanted.forEach((place, amount) -> {
            int count = (int) Math.min(MOST_RENTED, Math.ceil(amount - ROUNDED_OFF));
            if (count > 0 && asked.size() < MOST_ASKED) {
                createInstances(place, count);
            }
        });
    }

    private void createInstances(InstancePool place, int count) {
        String request = "dewlane-" + Long.toHexString(context.random().nextLong())
                + Long.toHexString(context.random().nextLong());
        asked.put(request, new InstanceRequest(place, count, context.nowMs()));
        context.emit(new Effect.CreateInstances(request, place.type(), place.zone(), place.spot(), count));
    }

    /** Where a task of the job costs least, by price, room and the time lost to boot and fetch; null: nowhere now. */
    private InstancePool cheapest(JobEntry entry) {
        Job job = entry.job();
        InstancePool best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (MachineType type : machines.types()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    InstancePool place = new InstancePool(type.name(), zone, spot);
                    double cost = isEligible(place, type, entry) ? cost(type, spot, job) : Double.POSITIVE_INFINITY;
                    if (cost < bestCost) {
                        best = place;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    private boolean isEligible(InstancePool place, MachineType type, JobEntry entry) {
        Job job = entry.job();
        return type.capacityFor(job) >= 1
                && job.allows(place.type(), place.zone(), place.spot())
                && (place.spot() || mayUseOnDemand(entry))
                && scarceUntil.getOrDefault(place, 0L) <= context.nowMs();
    }

    private double cost(MachineType type, boolean spot, Job job) {
        double each = type.price(spot) / type.capacityFor(job);
        double rivalry = 1 + RIVAL * machines.typeContention().contention(job.requirements(), type);
        double lostS = type.bootS() + job.imageGb() / type.imageFetchGbPerS();
        return each * rivalry * (1 + lostS / LIFE_S);
    }

    private boolean mayUseOnDemand(JobEntry job) {
        return job.priority() != Priority.IDLE
                || !job.job().spotAllowed()
                || context.wallClockMs() - job.waitingSinceMs() > IDLE_PRIORITY_WAIT_MS;
    }
}
