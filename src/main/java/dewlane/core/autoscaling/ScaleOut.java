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

/** Requests instances for unmet demand, and follows the requests until the cloud answers. */
public final class ScaleOut {
    /** A pool that gave fewer instances than requested gets no request for so long. */
    private static final long NO_CAPACITY_BACKOFF_MS = 20_000;
    /** The same after an answer that does not say what was created. */
    private static final long UNKNOWN_BACKOFF_MS = 3000;
    /** A request that was not answered for so long will not be. */
    private static final long REQUEST_TIMEOUT_MS = 30_000;
    /** No request is made while so many are in flight. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 3;
    /** As many as the cloud creates by one request. */
    private static final int MAX_INSTANCES_PER_REQUEST = 50;
    /** Demand for a smaller part of an instance than this is worth none. */
    private static final double MIN_INSTANCE_FRACTION = 0.2;

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final InstanceInventory inventory;
    private final UnmetDemandEstimator demand;
    private final InstancePoolSelector pools;
    /** Requests that the cloud has not answered yet, by their ids. */
    private final Map<String, InstanceRequest> inFlight = new HashMap<>();

    /** Requests instances of the selected pools for the estimated demand. */
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

    /** Forgets all requests: this controller does not lead. */
    void clear() {
        inFlight.clear();
    }

    /** Forgets requests that will not be answered. */
    void expireRequests() {
        inFlight.values().removeIf(request -> context.nowMs() - request.requestedAtMs() > REQUEST_TIMEOUT_MS);
    }

    /** Requests instances for the demand that neither machines nor requests under way meet. */
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

    /** Takes the answer to a request; returns false if the request is not known any more. */
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
            // The request may be carried out late: the instances then show up in heartbeats and lists.
            case INVALID, UNKNOWN -> pools.backOff(pool, UNKNOWN_BACKOFF_MS);
        }
        return true;
    }
}
