package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.model.Job;
import dewlane.core.model.ResourceUsage;
import dewlane.core.schema.Transaction;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.List;
import java.util.Set;

/**
 * Keeps every team within its limit and determines which jobs are within their team's guarantee.
 *
 * <p>A small limit is enforced by serializing the team's launches ({@link SerializedLimit}), a large one by dividing it
 * into shares of the controllers ({@link PartitionedLimit}). The choice depends only on the settings and on the
 * partition map. Every launch is conditional on the map, so all controllers use the same strategy.
 */
public final class QuotaEnforcer {
    private final Settings settings;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final SerializedLimit serialized;
    private final PartitionedLimit partitioned;
    private final TeamGuarantees guarantees;

    /** Creates an enforcer of the quotas in the settings, based on the usage that the registry counts. */
    public QuotaEnforcer(Settings settings, StoreReplica replica, MachineRegistry machines) {
        this.settings = settings;
        this.replica = replica;
        this.machines = machines;
        this.serialized = new SerializedLimit(replica, machines);
        this.partitioned = new PartitionedLimit(settings, replica, machines);
        this.guarantees = new TeamGuarantees(settings);
    }

    /** Returns the quota of the job's team, or null if the settings do not contain the team. */
    private TeamQuota team(Job job) {
        return settings.teams().get(job.team());
    }

    private boolean hasLimit(Job job) {
        TeamQuota team = team(job);
        return team != null && team.hasLimit();
    }

    /** Returns how the limit of a team is enforced; only for teams that have one. */
    private LimitEnforcement enforcement(TeamQuota team) {
        return partitioned.appliesTo(team) ? partitioned : serialized;
    }

    /** Returns true if the limit of the job's team is divided into shares of the controllers. */
    boolean hasPartitionedLimit(Job job) {
        return hasLimit(job) && partitioned.appliesTo(team(job));
    }

    /** Returns true if launches of the job's team are serialized to enforce its limit. */
    public boolean hasSerializedLimit(Job job) {
        return hasLimit(job) && !partitioned.appliesTo(team(job));
    }

    /** Returns true while the usage of the job's team is not known, because a serialized launch of it is in flight. */
    public boolean isLaunchInFlight(Job job) {
        return hasSerializedLimit(job) && serialized.isLaunchInFlight(job.team());
    }

    /**
     * Returns how many more tasks of the job this controller may start under the team's limit; 0 for an unknown team.
     */
    public int capacityFor(Job job) {
        TeamQuota team = team(job);
        if (team == null) {
            return 0;
        }
        if (!team.hasLimit()) {
            return Integer.MAX_VALUE;
        }
        return hasUnreadableJobs(job.team()) ? 0 : enforcement(team).capacityFor(team, job);
    }

    /** Returns true if a stored value that cannot be read may contain further attempts of the team. */
    private boolean hasUnreadableJobs(String team) {
        for (String id : replica.unreadableJobs()) {
            JobEntry job = replica.job(id);
            if (job == null || job.job() == null || job.job().team().equals(team)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many more tasks of the job a controller can start under the team's limit, or its share of it. */
    public int capacityFor(Job job, String controller) {
        TeamQuota team = team(job);
        return hasLimit(job) ? enforcement(team).capacityFor(team, job, controller) : Integer.MAX_VALUE;
    }

    /**
     * Returns how many more tasks of the job fit into the team's limit if the team's total usage were the given one.
     */
    public int capacityFor(Job job, ResourceUsage usage) {
        TeamQuota team = team(job);
        return team == null ? 0 : usage.capacityFor(team, job);
    }

    /** Returns true if the team's limit as a whole has capacity, even if this controller's share has not. */
    public boolean hasTeamCapacity(Job job) {
        return capacityFor(job, machines.teamUsage().usageOf(job.team())) > 0;
    }

    /**
     * Returns the unused part of a controller's share of a partitioned limit; negative if its usage exceeds the share.
     */
    QuotaAmount unusedShare(Job job, String controller) {
        return partitioned.unusedShare(team(job), job, controller);
    }

    /**
     * Returns the jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. Jobs of
     * idle priority only get what the team's other jobs leave of the guarantee: their backlog usually contains the
     * oldest jobs, which would otherwise use up the guarantee before jobs with a deadline.
     *
     * @param ready unfinished jobs in ready order
     * @return ids of jobs
     */
    public Set<String> jobsWithinGuarantee(List<JobEntry> ready) {
        return guarantees.withinGuarantee(ready);
    }

    /** Returns true if the job's team uses more than its guarantee, or is not in the settings. */
    public boolean exceedsGuarantee(Job job) {
        TeamQuota team = team(job);
        ResourceUsage usage = machines.teamUsage().usageOf(job.team());
        return team == null || TeamGuarantees.isExceeded(team, usage.cpus(), usage.gpus());
    }

    /** Makes a launch conditional on the team usage that it was decided on, if the team's launches are serialized. */
    public void addPrecondition(Transaction.Builder transaction, Job job) {
        if (hasSerializedLimit(job)) {
            serialized.addPrecondition(transaction, job.team());
        }
    }

    /**
     * Called when a launch of the job was answered at the given revision. Recorded for every team with a limit, because
     * its launches may have become serialized since the launch was sent.
     */
    public void onLaunchCompleted(Job job, long revision) {
        if (hasLimit(job)) {
            serialized.onLaunchCompleted(job.team(), revision);
        }
    }
}
