package dewlane.core.autoscaling;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.MachineType;
import dewlane.core.store.JobEntry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Requests instances for unmet demand, and tracks the requests until the cloud answers or they time out. */
public final class ScaleOut {
    /** The backoff of a pool after the cloud created fewer instances than requested, or none for lack of capacity. */
    private static final long NO_CAPACITY_BACKOFF_MS = 20_000;
    /** The backoff of a pool after an invalid request, or one without a definite answer. */
    private static final long UNRESOLVED_BACKOFF_MS = 3000;
    /** A request that is not answered within this time is dropped: no answer is expected any more. */
    private static final long REQUEST_TIMEOUT_MS = 30_000;
    /** The maximum number of requests without an answer yet. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 3;
    /** The largest number of instances that the cloud creates for one request. */
    private static final int MAX_INSTANCES_PER_REQUEST = 50;
    /** Demand for a smaller fraction of an instance than this does not justify its price. */
    private static final double MIN_INSTANCE_FRACTION = 0.2;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final InstanceInventory inventory;
    private final UnmetDemandEstimator demand;
    private final InstancePoolSelector pools;
    /** Requests that the cloud has not answered yet, by id. */
    private final Map<String, InstanceRequest> inFlight = new HashMap<>();

    /** Creates a scale-out that requests instances of the selected pools for the estimated demand. */
    public ScaleOut(
            ControllerContext context,
            MachineRegistry machines,
            InstanceInventory inventory,
            UnmetDemandEstimator demand,
            InstancePoolSelector pools) {
        this.context = context;
        this.machines = machines;
        this.inventory = inventory;
        this.demand = demand;
        this.pools = pools;
    }

    /** Drops all requests. Called when this controller is not the leader. */
    void clear() {
        inFlight.clear();
    }

    /** Drops requests that were not answered in time. */
    void expireRequests() {
        inFlight.values().removeIf(request -> context.nowMs() - request.requestedAtMs() > REQUEST_TIMEOUT_MS);
    }

    /** Requests instances for the demand that neither running machines nor requested instances meet. */
    void run() {
        if (inFlight.size() >= MAX_REQUESTS_IN_FLIGHT) {
            return;
        }
        instancesByPool().forEach((pool, instances) -> {
            int count = (int) Math.min(MAX_INSTANCES_PER_REQUEST, Math.ceil(instances - MIN_INSTANCE_FRACTION));
            if (count > 0 && inFlight.size() < MAX_REQUESTS_IN_FLIGHT) {
                request(pool, count);
            }
        });
    }

    private Map<InstancePool, Double> instancesByPool() {
        Map<InstancePool, Double> instances = new LinkedHashMap<>();
        Map<JobEntry, Double> unmet = demand.unmetDemand(inventory.pending(), inFlight.values());
        unmet.forEach((job, slots) -> pools.cheapest(job).ifPresent(pool -> {
            MachineType type = machines.type(pool.type());
            instances.merge(pool, slots / type.capacityFor(job.job()), Double::sum);
        }));
        return instances;
    }

    private void request(InstancePool pool, int count) {
        String id = "dewlane-" + Long.toHexString(context.random().nextLong())
                + Long.toHexString(context.random().nextLong());
        inFlight.put(id, new InstanceRequest(pool, count, context.nowMs()));
        context.emit(new Effect.CreateInstances(id, pool.type(), pool.zone(), pool.spot(), count));
    }

    /**
     * Called when a request was answered or timed out.
     *
     * @return false if the request was dropped before
     */
    boolean onInstancesCreated(Input.InstancesCreated in) {
        InstanceRequest request = inFlight.remove(in.requestId());
        if (request == null) {
            return false;
        }
        InstancePool pool = request.pool();
        switch (in.status()) {
            case CREATED -> {
                inventory.onCreated(in.machines(), request);
                context.info("created instances " + in.machines() + " of " + pool);
                if (in.machines().size() < request.count()) {
                    pools.backOff(pool, NO_CAPACITY_BACKOFF_MS);
                }
            }
            case NO_CAPACITY -> {
                pools.backOff(pool, NO_CAPACITY_BACKOFF_MS);
                context.debug("no capacity for " + pool);
            }
            // A request without an answer may still be executed. Its instances then appear in heartbeats and the list.
            case INVALID, UNKNOWN -> pools.backOff(pool, UNRESOLVED_BACKOFF_MS);
        }
        return true;
    }
}
