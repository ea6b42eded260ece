package dewlane.core.quota;

import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.model.Job;

/**
 * Strategy that keeps a team within its limit. The size of the limit decides which one applies, see
 * {@link QuotaEnforcer}.
 */
sealed interface LimitEnforcement permits SerializedLimit, PartitionedLimit {
    /** Returns how many more tasks of the job this controller may start under the limit of the job's team. */
    int capacityFor(TeamQuota team, Job job);

    /** Estimates how many more tasks of the job the given controller can start under the limit of the job's team. */
    int capacityFor(TeamQuota team, Job job, String controller);
}
