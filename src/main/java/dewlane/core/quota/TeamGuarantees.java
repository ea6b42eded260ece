package dewlane.core.quota;

import dewlane.core.config.Settings;
import dewlane.core.config.Settings.TeamQuota;
import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.store.JobEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Determines which jobs are within their team's guarantee. */
final class TeamGuarantees {
    /** Exceeds the rounding error of sums of fractions of a CPU. */
    private static final double TOLERANCE = 1e-9;

    /** Total demand of several jobs of a team. */
    private static final class Demand {
        private double cpus;
        private double gpus;

        void add(Job job) {
            cpus += job.tasks() * job.cpus();
            gpus += job.tasks() * job.gpus();
        }

        boolean isWithinGuarantee(TeamQuota team) {
            return isWithin(cpus, gpus, team);
        }
    }

    private final Settings settings;

    TeamGuarantees(Settings settings) {
        this.settings = settings;
    }

    private static boolean isWithin(double cpus, double gpus, TeamQuota team) {
        return cpus <= team.guaranteedCpus() + TOLERANCE && gpus <= team.guaranteedGpus() + TOLERANCE;
    }

    /** Returns true if the usage exceeds the team's guarantee. */
    static boolean isExceeded(TeamQuota team, double cpus, double gpus) {
        return !isWithin(cpus, gpus, team);
    }

    /** See {@link QuotaEnforcer#jobsWithinGuarantee}. */
    Set<String> withinGuarantee(List<JobEntry> ready) {
        Map<String, Demand> demandByTeam = new HashMap<>();
        Set<String> within = new HashSet<>();
        addFitting(ready, false, demandByTeam, within);
        addFitting(ready, true, demandByTeam, within);
        return within;
    }

    private void addFitting(
            List<JobEntry> ready, boolean idlePriority, Map<String, Demand> demandByTeam, Set<String> within) {
        for (JobEntry job : ready) {
            TeamQuota team = settings.teams().get(job.job().team());
            if (hasGuarantee(team) && (job.priority() == Priority.IDLE) == idlePriority) {
                Demand demand = demandByTeam.computeIfAbsent(team.name(), name -> new Demand());
                demand.add(job.job());
                if (demand.isWithinGuarantee(team)) {
                    within.add(job.id());
                }
            }
        }
    }

    private static boolean hasGuarantee(TeamQuota team) {
        return team != null && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0);
    }
}
