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
 * Enforces a small limit by serializing the team's launches: every launch transaction requires that the team's usage
 * key is unchanged, and writes that key. If the key still has the revision that the replica shows, the replica contains
 * every launch for the team. The usage counted from the replica includes every attempt that is not proven to have
 * ended, so it is an upper bound of the actual usage.
 */
final class SerializedLimit implements LimitEnforcement {
    /** Stands for the revision of a launch transaction that is in flight. */
    private static final long IN_FLIGHT = Long.MAX_VALUE;

    private final StoreReplica replica;
    private final MachineRegistry machines;
    /** By team, the revision of the latest launch. The team's usage is not known until the replica reaches it. */
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

    /** Returns true while a launch of the team is in flight, or the replica has not reached its revision. */
    boolean isLaunchInFlight(String team) {
        return launchRevisions.getOrDefault(team, 0L) > replica.revision();
    }

    /** Makes a launch conditional on the team usage that it was decided on. */
    void addPrecondition(Transaction.Builder transaction, String team) {
        ResourceUsage usage = usageOf(team);
        String key = StoreKeys.teamUsage(team);
        transaction.require(key, replica.teamUsageRevision(team));
        transaction.put(key, new StoredValue.TeamUsageRecord(usage.cpus(), usage.gpus()));
        launchRevisions.put(team, IN_FLIGHT);
    }

    /** Called when a launch of the team was answered at the given revision. */
    void onLaunchCompleted(String team, long revision) {
        launchRevisions.put(team, revision);
    }
}
