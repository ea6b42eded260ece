package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.model.ResourceUsage;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import dewlane.core.store.JobEntry;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps every team within its limit, in one of two ways; the settings and the map, which every launch is conditional
 * on, say which, so all controllers agree.
 *
 * <p>A small limit is lent launch by launch: each launch is conditional on the team key and changes it. If the key
 * still has the version that the replica shows, no launch for the team is missing from the replica, so the use counted
 * there, which holds every attempt that is not proven gone, is an upper bound.
 *
 * <p>Of a large limit each controller of the map has a share, an equal one at first (see {@link QuotaRebalancer}), and
 * needs no key: what is on machines counts against the owner of its slice, who alone launches there, so a controller
 * knows its own use. Another may come to own more than its share when a controller leaves; it then starts nothing, and
 * the others keep that much of theirs free.
 */
public final class QuotaEnforcer {
    private final Settings settings;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    /** Teams with a launch under way: until the replica has reached the revision, its count is not the latest. */
    private final Map<String, Long> settledAt = new HashMap<>();

    public QuotaEnforcer(Settings settings, StoreReplica replica, MachineRegistry machines) {
        this.settings = settings;
        this.replica = replica;
        this.machines = machines;
    }

    private Settings.TeamQuota team(Job job) {
        return settings.teams().get(job.team());
    }

    boolean hasLimit(Job job) {
        return team(job) != null && team(job).hasLimit();
    }

    /** True if the limit is so large that a share of it does not hold work up. */
    private boolean isDivisible(Settings.TeamQuota team) {
        int n = replica.partitionMap() == null
                ? 1
                : replica.partitionMap().members().size();
        double least = settings.tuning().partitionedQuotaCpus();
        return (team.maxCpus() <= 0 || team.maxCpus() / n >= least)
                && (team.maxGpus() <= 0 || team.maxGpus() / n >= least / 4);
    }

    /** True if the controllers have shares of the team's limit. */
    boolean isPartitioned(Job job) {
        return hasLimit(job) && isDivisible(team(job));
    }

    /** CPUs and GPUs. */
    record Amount(double cpus, double gpus) {}

    /** A controller's share: an equal one, but for what was lent. */
    private Amount share(Settings.TeamQuota team, String node) {
        int controllers = replica.partitionMap().members().size();
        double cpus = team.maxCpus() / controllers;
        double gpus = team.maxGpus() / controllers;
        for (StoredValue.QuotaTransfer transfer : replica.partitionMap().quotaTransfers()) {
            if (transfer.team().equals(team.name()) && transfer.controller().equals(node)) {
                cpus += transfer.cpus();
                gpus += transfer.gpus();
            }
        }
        return new Amount(cpus, gpus);
    }

    /** True if the team's limit is lent launch by launch. */
    public boolean isSerialized(Job job) {
        return hasLimit(job) && !isDivisible(team(job));
    }

    /** True while a launch of a serialized team is in flight, so that its usage is not known. */
    public boolean isLaunchInFlight(Job job) {
        return isSerialized(job) && settledAt.getOrDefault(job.team(), 0L) > replica.revision();
    }

    /** How many more tasks of the job this controller may start under the team's limit; none for an unknown team. */
    public int capacityFor(Job job) {
        Settings.TeamQuota team = team(job);
        if (team == null || hasLimit(job) && hasUnreadableJobs(job.team())) {
            return 0;
        }
        return hasLimit(job) && isDivisible(team)
                ? capacityInShare(team, job)
                : machines.teamUsage().usageOf(job.team()).capacityFor(team, job);
    }

    /** True if something is stored that cannot be read and may tell of further tasks of the team. */
    private boolean hasUnreadableJobs(String team) {
        for (String id : replica.unreadableJobs()) {
            JobEntry job = replica.job(id);
            if (job == null || job.job() == null || job.job().team().equals(team)) {
                return true;
            }
        }
        return false;
    }

    private int capacityInShare(Settings.TeamQuota team, Job job) {
        double othersCpus = 0;
        double othersGpus = 0;
        for (StoredValue.Member member : replica.partitionMap().members()) {
            if (!member.name().equals(settings.controllerName())) {
                ResourceUsage use = machines.teamUsage().usageOf(job.team(), member.name());
                Amount share = share(team, member.name());
                othersCpus += Math.max(use.cpus(), share.cpus());
                othersGpus += Math.max(use.gpus(), share.gpus());
            }
        }
        Amount left = new Amount(team.maxCpus() - othersCpus, team.maxGpus() - othersGpus);
        return capacityFor(team, job, settings.controllerName(), left);
    }

    private int capacityFor(Settings.TeamQuota team, Job job, String node, Amount share) {
        ResourceUsage use = machines.teamUsage().usageOf(job.team(), node);
        return Math.min(
                use.capacityFor(team.maxCpus(), share.cpus(), true, job),
                use.capacityFor(team.maxGpus(), share.gpus(), false, job));
    }

    /** How many tasks of the job a controller has room for under the team's limit, in its share where it has one. */
    public int capacityFor(Job job, String node) {
        Settings.TeamQuota team = team(job);
        if (!hasLimit(job)) {
            return Integer.MAX_VALUE;
        }
        return isDivisible(team)
                ? capacityFor(team, job, node, share(team, node))
                : capacityFor(job, machines.teamUsage().usageOf(job.team()));
    }

    /** What a controller leaves of its share of the team's limit; less than nothing if it has inherited too much. */
    Amount unusedShare(Job job, String node) {
        Amount share = share(team(job), node);
        ResourceUsage use = machines.teamUsage().usageOf(job.team(), node);
        return new Amount(share.cpus() - use.cpus(), share.gpus() - use.gpus());
    }

    /** True if the team as a whole has room for more, though perhaps not in this controller's share. */
    public boolean hasCapacity(Job job) {
        return team(job) != null && capacityFor(job, machines.teamUsage().usageOf(job.team())) > 0;
    }

    /** How many more fit if the team used so much in all. */
    public int capacityFor(Job job, ResourceUsage use) {
        Settings.TeamQuota team = team(job);
        return team == null ? 0 : use.capacityFor(team, job);
    }

    /**
     * The jobs that fit into their team's guarantee along with the team's earlier unfinished jobs. Idle work takes of a
     * guarantee what the team's other work leaves: its backlog is the oldest there is, and went before all that had a
     * deadline.
     *
     * @param ready unfinished jobs in ready order
     */
    public Set<String> withinGuarantee(List<JobEntry> ready) {
        Map<String, double[]> sums = new HashMap<>();
        Set<String> within = new HashSet<>();
        for (boolean idle : new boolean[] {false, true}) {
            for (JobEntry entry : ready) {
                Job job = entry.job();
                Settings.TeamQuota team = team(job);
                if (team != null
                        && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0)
                        && (entry.priority() == Priority.IDLE) == idle) {
                    double[] sum = sums.computeIfAbsent(team.name(), t -> new double[2]);
                    sum[0] += job.tasks() * job.cpus();
                    sum[1] += job.tasks() * job.gpus();
                    if (sum[0] <= team.guaranteedCpus() + 1e-9 && sum[1] <= team.guaranteedGpus() + 1e-9) {
                        within.add(entry.id());
                    }
                }
            }
        }
        return within;
    }

    /** True if the team uses more than its guarantee. */
    public boolean exceedsGuarantee(Job job) {
        Settings.TeamQuota team = team(job);
        ResourceUsage use = machines.teamUsage().usageOf(job.team());
        return team == null || use.cpus() > team.guaranteedCpus() + 1e-9 || use.gpus() > team.guaranteedGpus() + 1e-9;
    }

    /** Makes a launch conditional on the count it was decided by. */
    public void addPrecondition(Transaction.Builder transaction, Job job) {
        if (isSerialized(job)) {
            ResourceUsage use = machines.teamUsage().usageOf(job.team());
            transaction.require(StoreKeys.teamUsage(job.team()), replica.teamUsageRevision(job.team()));
            transaction.put(StoreKeys.teamUsage(job.team()), new StoredValue.TeamUsageRecord(use.cpus(), use.gpus()));
            settledAt.put(job.team(), Long.MAX_VALUE);
        }
    }

    /** A launch of the job was answered at the revision. */
    public void onLaunchCompleted(Job job, long revision) {
        if (hasLimit(job)) {
            settledAt.put(job.team(), revision);
        }
    }
}
