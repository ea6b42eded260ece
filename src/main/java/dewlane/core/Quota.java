package dewlane.core;

import dewlane.core.Replica.JobEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps every team within its limit.
 *
 * <p>Each launch for a limited team is conditional on the team key and changes it. If the key still has the version
 * that the replica shows, no launch for the team is missing from the replica, so the use counted there, which holds
 * every attempt that is not proven gone, is an upper bound.
 */
final class Quota {
    private final Settings settings;
    private final Replica replica;
    private final Machines machines;
    /** Teams with a launch under way: until the replica has reached the revision, its count is not the latest. */
    private final Map<String, Long> settledAt = new HashMap<>();

    Quota(Settings settings, Replica replica, Machines machines) {
        this.settings = settings;
        this.replica = replica;
        this.machines = machines;
    }

    private Settings.Team team(Job job) {
        return settings.teams().get(job.team());
    }

    boolean busy(Job job) {
        return team(job) != null && team(job).limited() && settledAt.getOrDefault(job.team(), 0L) > replica.revision();
    }

    /** How many more tasks of the job fit under the team's limit. A job of an unknown team does not start. */
    int room(Job job) {
        Settings.Team team = team(job);
        if (team == null) {
            return 0;
        }
        double[] use = machines.use(job.team());
        return (int) Math.min(tasks(team.cpusMax(), use[0], job.cpus()), tasks(team.gpusMax(), use[1], job.gpus()));
    }

    private static double tasks(double max, double used, double each) {
        return max <= 0 || each <= 0 ? Integer.MAX_VALUE : Math.max(0, Math.floor((max - used) / each + 1e-9));
    }

    /**
     * The jobs that fit into their team's guarantee along with the team's earlier unfinished jobs.
     *
     * @param ready unfinished jobs in ready order
     */
    Set<String> guaranteed(List<JobEntry> ready) {
        Map<String, double[]> sums = new HashMap<>();
        Set<String> within = new HashSet<>();
        for (JobEntry entry : ready) {
            Job job = entry.job();
            Settings.Team team = team(job);
            if (team != null && (team.cpus() > 0 || team.gpus() > 0)) {
                double[] sum = sums.computeIfAbsent(team.name(), t -> new double[2]);
                sum[0] += job.tasks() * job.cpus();
                sum[1] += job.tasks() * job.gpus();
                if (sum[0] <= team.cpus() + 1e-9 && sum[1] <= team.gpus() + 1e-9) {
                    within.add(entry.id);
                }
            }
        }
        return within;
    }

    /** True if the team uses more than its guarantee. */
    boolean borrows(Job job) {
        Settings.Team team = team(job);
        double[] use = machines.use(job.team());
        return team == null || use[0] > team.cpus() + 1e-9 || use[1] > team.gpus() + 1e-9;
    }

    void add(Job job) {
        double[] use = machines.use(job.team());
        use[0] += job.cpus();
        use[1] += job.gpus();
    }

    /** Makes a launch conditional on the count it was decided by. */
    void guard(Txn.Builder txn, Job job) {
        if (team(job).limited()) {
            double[] use = machines.use(job.team());
            txn.when(Keys.team(job.team()), replica.teamVersion(job.team()));
            txn.set(Keys.team(job.team()), new Value.TeamRecord(use[0], use[1]));
            settledAt.put(job.team(), Long.MAX_VALUE);
        }
    }

    void answered(Job job, long revision) {
        if (team(job).limited()) {
            settledAt.put(job.team(), revision);
        }
    }
}
