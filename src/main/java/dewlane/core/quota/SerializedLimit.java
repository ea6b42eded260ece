package dewlane.core.quota;

import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Map;

/**
 * Enforces a small limit by serialized launches: each launch is conditional on the team key and changes it. If the key
 * still has the version that the replica shows, no launch for the team is missing from the replica, so the usage
 * counted there, which holds every attempt that is not proven ended, is an upper bound.
 */
final class SerializedLimit implements LimitEnforcement {
    /** Stands for the revision of a launch that is not answered yet. */
    private static final long IN_FLIGHT = Long.MAX_VALUE;

    private final StoreReplica replica;
    private final MachineRegistry machines;
    /** By team, the revision of the latest launch: until the replica has reached it, the usage is not known. */
    private final Map<String, Long> launchRevisions = new HashMap<>();

    SerializedLimit(StoreReplica replica, MachineRegistry machines) {
        this.replica = replica;
        this.machines = machines;
    }

    @Override
    public int capacityFor(TeamQuota team, Job job) {
        return usageOf(job.team()).capacityFor(team, job);
    }

    @Override
    public int capacityFor(TeamQuota team, Job job, String controller) {
        return capacityFor(team, job);
    }

    private ResourceUsage usageOf(String team) {
        return machines.teamUsage().usageOf(team);
    }

    /** True while a launch of the team is in flight, or the replica has not reached its revision. */
    boolean isLaunchInFlight(String team) {
        return launchRevisions.getOrDefault(team, 0L) > replica.revision();
    }

    /** Makes a launch conditional on the usage by which it was decided. */
    void addPrecondition(Transaction.Builder transaction, String team) {
        ResourceUsage usage = usageOf(team);
        String key = StoreKeys.teamUsage(team);
        transaction.require(key, replica.teamUsageRevision(team));
        transaction.put(key, new StoredValue.TeamUsageRecord(usage.cpus(), usage.gpus()));
        launchRevisions.put(team, IN_FLIGHT);
    }

    /** A launch of the team was answered at the revision. */
    void onLaunchCompleted(String team, long revision) {
        launchRevisions.put(team, revision);
    }
}
