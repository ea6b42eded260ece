package dewlane.sim;

import dewlane.core.config.Settings;
import dewlane.core.model.Job;

/**
 * Checks, whenever a task starts, that it runs on one machine only, that its job's placement constraints allow that
 * machine, and that its team stays within its quota.
 */
final class PlacementChecker {
    private static final double CPU_TOLERANCE = 1e-9;

    private final SimCluster cluster;
    private final InvariantChecker checker;

    PlacementChecker(SimCluster cluster, InvariantChecker checker) {
        this.cluster = cluster;
        this.checker = checker;
    }

    /**
     * Checks that the task runs on no other machine, and that the job's constraints on machine types, zones and spot
     * machines hold.
     */
    void checkPlacement(SimWorker worker, SimAttempt attempt) {
        Job job = cluster.users.job(attempt.job);
        String task = attempt.job + "/" + attempt.task;
        int inSameZone = 0;
        for (SimWorker otherWorker : cluster.workers()) {
            for (SimAttempt other : otherWorker.attempts()) {
                if (!other.occupiesMachine() || other == attempt || !other.job.equals(attempt.job)) {
                    continue;
                }
                if (other.task == attempt.task) {
                    checker.fail(
                            "ran_twice",
                            task + " on " + worker.name + " #" + attempt.number + " and " + otherWorker.name + " #"
                                    + other.number);
                }
                boolean sameZone = otherWorker.zone.equals(worker.zone);
                inSameZone += sameZone ? 1 : 0;
                if (job.sameZone() && !sameZone) {
                    checker.fail("wrong_placement", task + " not in the zone of its job");
                }
            }
        }
        boolean tooManyInZone = job.spreadZones() && inSameZone + 1 > (job.tasks() + 1) / 2;
        if (!job.allows(worker.type.name(), worker.zone, worker.spot) || tooManyInZone) {
            checker.fail("wrong_placement", task + " on " + worker.name);
        }
    }

    void checkQuota(SimAttempt attempt) {
        Settings.TeamQuota team =
                cluster.settings.teams().get(cluster.users.job(attempt.job).team());
        double used = 0;
        for (SimWorker worker : cluster.workers()) {
            for (SimAttempt other : worker.attempts()) {
                Job job = cluster.users.job(other.job);
                used += other.occupiesMachine() && job.team().equals(team.name()) ? job.cpus() : 0;
            }
        }
        if (team.maxCpus() > 0 && used > team.maxCpus() + CPU_TOLERANCE) {
            checker.fail("quota", attempt.job + "/" + attempt.task + " takes " + team.name() + " to " + used);
        }
    }
}
