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

    boolean limited(Job job) {
        return team(job) != null && team(job).limited();
    }

    /** True if the limit is so large that a share of it does not hold work up. */
    private boolean shared(Settings.TeamQuota team) {
        int n = replica.map() == null ? 1 : replica.map().members().size();
        double least = settings.tuning().sharedCpus();
        return (team.cpusMax() <= 0 || team.cpusMax() / n >= least)
                && (team.gpusMax() <= 0 || team.gpusMax() / n >= least / 4);
    }

    /** True if the controllers have shares of the team's limit. */
    boolean divides(Job job) {
        return limited(job) && shared(team(job));
    }

    /** CPUs and GPUs. */
    record Amount(double cpus, double gpus) {}

    /** A controller's share: an equal one, but for what was lent. */
    private Amount share(Settings.TeamQuota team, String node) {
        int controllers = replica.map().members().size();
        double cpus = team.cpusMax() / controllers;
        double gpus = team.gpusMax() / controllers;
        for (StoredValue.QuotaTransfer l : replica.map().loans()) {
            if (l.team().equals(team.name()) && l.node().equals(node)) {
                cpus += l.cpus();
                gpus += l.gpus();
            }
        }
        return new Amount(cpus, gpus);
    }

    /** True if the team's limit is lent launch by launch. */
    public boolean lends(Job job) {
        return limited(job) && !shared(team(job));
    }

    public boolean busy(Job job) {
        return lends(job) && settledAt.getOrDefault(job.team(), 0L) > replica.revision();
    }

    /** How many more tasks of the job this controller may start under the team's limit; none for an unknown team. */
    public int room(Job job) {
        Settings.TeamQuota team = team(job);
        if (team == null || limited(job) && mayUseMore(job.team())) {
            return 0;
        }
        return limited(job) && shared(team)
                ? roomInShare(team, job)
                : machines.teamUsage().of(job.team()).room(team, job);
    }

    /** True if something is stored that cannot be read and may tell of further tasks of the team. */
    private boolean mayUseMore(String team) {
        for (String id : replica.held()) {
            JobEntry job = replica.job(id);
            if (job == null || job.job() == null || job.job().team().equals(team)) {
                return true;
            }
        }
        return false;
    }

    private int roomInShare(Settings.TeamQuota team, Job job) {
        double othersCpus = 0;
        double othersGpus = 0;
        for (StoredValue.Member member : replica.map().members()) {
            if (!member.name().equals(settings.node())) {
                ResourceUsage use = machines.teamUsage().of(job.team(), member.name());
                Amount share = share(team, member.name());
                othersCpus += Math.max(use.cpus(), share.cpus());
                othersGpus += Math.max(use.gpus(), share.gpus());
            }
        }
        Amount left = new Amount(team.cpusMax() - othersCpus, team.gpusMax() - othersGpus);
        return room(team, job, settings.node(), left);
    }

    private int room(Settings.TeamQuota team, Job job, String node, Amount share) {
        ResourceUsage use = machines.teamUsage().of(job.team(), node);
        return Math.min(
                use.room(team.cpusMax(), share.cpus(), true, job), use.room(team.gpusMax(), share.gpus(), false, job));
    }

    /** How many tasks of the job a controller has room for under the team's limit, in its share where it has one. */
    public int room(Job job, String node) {
        Settings.TeamQuota team = team(job);
        if (!limited(job)) {
            return Integer.MAX_VALUE;
        }
        return shared(team)
                ? room(team, job, node, share(team, node))
                : room(job, machines.teamUsage().of(job.team()));
    }

    /** What a controller leaves of its share of the team's limit; less than nothing if it has inherited too much. */
    Amount spare(Job job, String node) {
        Amount share = share(team(job), node);
        ResourceUsage use = machines.teamUsage().of(job.team(), node);
        return new Amount(share.cpus() - use.cpus(), share.gpus() - use.gpus());
    }

    /** True if the team as a whole has room for more, though perhaps not in this controller's share. */
    public boolean spare(Job job) {
        return team(job) != null && room(job, machines.teamUsage().of(job.team())) > 0;
    }

    /** How many more fit if the team used so much in all. */
    public int room(Job job, ResourceUsage use) {
        Settings.TeamQuota team = team(job);
        return team == null ? 0 : use.room(team, job);
    }

    /**
     * The jobs that fit into their team's guarantee along with the team's earlier unfinished jobs. Idle work takes of a
     * guarantee what the team's other work leaves: its backlog is the oldest there is, and went before all that had a
     * deadline.
     *
     * @param ready unfinished jobs in ready order
     */
    public Set<String> guaranteed(List<JobEntry> ready) {
        Map<String, double[]> sums = new HashMap<>();
        Set<String> within = new HashSet<>();
        for (boolean idle : new boolean[] {false, true}) {
            for (JobEntry entry : ready) {
                Job job = entry.job();
                Settings.TeamQuota team = team(job);
                if (team != null
                        && (team.cpus() > 0 || team.gpus() > 0)
                        && (entry.priority() == Priority.IDLE) == idle) {
                    double[] sum = sums.computeIfAbsent(team.name(), t -> new double[2]);
                    sum[0] += job.tasks() * job.cpus();
                    sum[1] += job.tasks() * job.gpus();
                    if (sum[0] <= team.cpus() + 1e-9 && sum[1] <= team.gpus() + 1e-9) {
                        within.add(entry.id);
                    }
                }
            }
        }
        return within;
    }

    /** True if the team uses more than its guarantee. */
    public boolean borrows(Job job) {
        Settings.TeamQuota team = team(job);
        ResourceUsage use = machines.teamUsage().of(job.team());
        return team == null || use.cpus() > team.cpus() + 1e-9 || use.gpus() > team.gpus() + 1e-9;
    }

    /** Makes a launch conditional on the count it was decided by. */
    public void guard(Transaction.Builder txn, Job job) {
        if (lends(job)) {
            ResourceUsage use = machines.teamUsage().of(job.team());
            txn.when(StoreKeys.team(job.team()), replica.teamVersion(job.team()));
            txn.set(StoreKeys.team(job.team()), new StoredValue.TeamUsageRecord(use.cpus(), use.gpus()));
            settledAt.put(job.team(), Long.MAX_VALUE);
        }
    }

    public void answered(Job job, long revision) {
        if (limited(job)) {
            settledAt.put(job.team(), revision);
        }
    }
}
