package dewlane.core.quota;

import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.model.Job;

/**
 * A way to keep a team within its limit. Which one applies follows from the limit's size: see {@link QuotaEnforcer}.
 */
sealed interface LimitEnforcement permits SerializedLimit, PartitionedLimit {
    /** How many more tasks of the job this controller may start under its team's limit. */
    int capacityFor(TeamQuota team, Job job);

    /** How many more tasks of the job the controller can start, as far as is known, under its team's limit. */
    int capacityFor(TeamQuota team, Job job, String controller);
}
