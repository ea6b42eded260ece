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
 * Keeps every team within its limit and tells which jobs are within its guarantee.
 *
 * <p>A limit is enforced in one of two ways: a small one by serialized launches ({@link SerializedLimit}), a large one
 * by shares of the controllers ({@link PartitionedLimit}). The settings and the partition map, on which every launch is
 * conditional, say which, so all controllers agree.
 */
public final class QuotaEnforcer {
    private final Settings settings;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final SerializedLimit serialized;
    private final PartitionedLimit partitioned;
    private final TeamGuarantees guarantees;

    /** Enforces the settings' quotas by the usage that the registry counts. */
    public QuotaEnforcer(Settings settings, StoreReplica replica, MachineRegistry machines) {
        this.settings = settings;
        this.replica = replica;
        this.machines = machines;
        this.serialized = new SerializedLimit(replica, machines);
        this.partitioned = new PartitionedLimit(settings, replica, machines);
        this.guarantees = new TeamGuarantees(settings);
    }

    /** The quota of the job's team, or null if the settings do not know the team. */
    private TeamQuota team(Job job) {
        return settings.teams().get(job.team());
    }

    private boolean hasLimit(Job job) {
        TeamQuota team = team(job);
        return team != null && team.hasLimit();
    }

    /** How the limit of a team that has one is enforced. */
    private LimitEnforcement enforcement(TeamQuota team) {
        return partitioned.appliesTo(team) ? partitioned : serialized;
    }

    /** True if the controllers have shares of the limit of the job's team. */
    boolean hasPartitionedLimit(Job job) {
        return hasLimit(job) && partitioned.appliesTo(team(job));
    }

    /** True if launches of the job's team are serialized to enforce its limit. */
    public boolean hasSerializedLimit(Job job) {
        return hasLimit(job) && !partitioned.appliesTo(team(job));
    }

    /** True while a launch of a serialized team is in flight, so that its usage is not known. */
    public boolean isLaunchInFlight(Job job) {
        return hasSerializedLimit(job) && serialized.isLaunchInFlight(job.team());
    }

    /** How many more tasks of the job this controller may start under the team's limit; none for an unknown team. */
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

    /** True if something is stored that cannot be read and may hold further attempts of the team. */
    private boolean hasUnreadableJobs(String team) {
        for (String id : replica.unreadableJobs()) {
            JobEntry job = replica.job(id);
            if (job == null || job.job() == null || job.job().team().equals(team)) {
                return true;
            }
        }
        return false;
    }

    /** How many more tasks of the job a controller can start under the team's limit, in its share where it has one. */
    public int capacityFor(Job job, String controller) {
        TeamQuota team = team(job);
        return hasLimit(job) ? enforcement(team).capacityFor(team, job, controller) : Integer.MAX_VALUE;
    }

    /** How many more tasks of the job fit into the team's limit if the team had the given usage in all. */
    public int capacityFor(Job job, ResourceUsage usage) {
        TeamQuota team = team(job);
        return team == null ? 0 : usage.capacityFor(team, job);
    }

    /** True if the team's limit allows more in all, though perhaps not in this controller's share. */
    public boolean hasTeamCapacity(Job job) {
        return capacityFor(job, machines.teamUsage().usageOf(job.team())) > 0;
    }

    /** What a controller does not use of its share of a partitioned limit; negative if it owns more than its share. */
    QuotaAmount unusedShare(Job job, String controller) {
        return partitioned.unusedShare(team(job), job, controller);
    }

    /**
     * The jobs that fit into their team's guarantee along with the team's earlier unfinished jobs. Jobs of idle
     * priority get what the team's other jobs leave of a guarantee: their backlog is the oldest there is, and would go
     * before all that has a deadline.
     *
     * @param ready unfinished jobs in ready order
     * @return ids of jobs
     */
    public Set<String> jobsWithinGuarantee(List<JobEntry> ready) {
        return guarantees.withinGuarantee(ready);
    }

    /** True if the team of the job uses more than its guarantee. */
    public boolean exceedsGuarantee(Job job) {
        TeamQuota team = team(job);
        ResourceUsage usage = machines.teamUsage().usageOf(job.team());
        return team == null || TeamGuarantees.isExceeded(team, usage.cpus(), usage.gpus());
    }

    /** Makes a launch of a serialized team conditional on the usage by which it was decided. */
    public void addPrecondition(Transaction.Builder transaction, Job job) {
        if (hasSerializedLimit(job)) {
            serialized.addPrecondition(transaction, job.team());
        }
    }

    /** A launch of the job was answered at the revision; the team may be serialized by then, whatever it was before. */
    public void onLaunchCompleted(Job job, long revision) {
        if (hasLimit(job)) {
            serialized.onLaunchCompleted(job.team(), revision);
        }
    }
}
