package dewlane.sim;

import dewlane.core.model.Job;
import dewlane.core.schema.Partitioner;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks, once all faults are over, that no job waits for more than 90 s while the same suitable machine has room for
 * it and its team is below its quota. Jobs whose tasks are constrained to the same zone or to be spread over zones are
 * not checked, since the placement of their other tasks may rule the machine out.
 */
final class StarvationChecker {
    private static final long INTERVAL_MS = 1000;
    private static final long MAX_WAIT_MS = 90_000;
    private static final double CPU_TOLERANCE = 1e-9;

    private final SimCluster cluster;
    private final InvariantChecker checker;
    /** By job and machine: since when the job has waited although the machine has room for it. */
    private final Map<String, Map<String, Long>> waitingDespiteRoomSince;

    StarvationChecker(SimCluster cluster, InvariantChecker checker) {
        this.cluster = cluster;
        this.checker = checker;
        this.waitingDespiteRoomSince = new HashMap<>();
    }

    void start() {
        cluster.every(INTERVAL_MS, () -> cluster.users.accepted().forEach(this::check));
    }

    private void check(String id) {
        Job job = cluster.users.job(id);
        boolean waits = !cluster.users.isFinished(id) && !job.hasZoneConstraint() && waits(job) && isUnderQuota(job);
        Map<String, Long> despiteRoomSince = waitingDespiteRoomSince.computeIfAbsent(id, key -> new HashMap<>());
        despiteRoomSince.keySet().removeIf(name -> !waits || !cluster.cloud.machines.containsKey(name));
        Collection<SimWorker> workers = waits ? cluster.workers() : List.of();
        for (SimWorker worker : workers) {
            if (!worker.hasRoom(job)) {
                despiteRoomSince.remove(worker.name);
                continue;
            }
            long since = despiteRoomSince.computeIfAbsent(worker.name, key -> cluster.now());
            if (cluster.now() - since > MAX_WAIT_MS) {
                String owner = Partitioner.ownerOf(SimFixtures.partitionMap(cluster), worker.name);
                checker.fail(
                        "starved",
                        id + " waits although there is room on " + worker.name + " of " + owner + "\n"
                                + cluster.recentTrace(worker.name) + cluster.describeJob(id));
            }
        }
    }

    /** True if the job has tasks that are neither done nor on a machine, and all its dependencies are done. */
    private boolean waits(Job job) {
        if (!job.dependencies().stream().allMatch(checker::allTasksDone)) {
            return false;
        }
        long placed = checker.countDoneTasks(job.id());
        for (SimWorker worker : cluster.workers()) {
            placed += worker.attempts().stream()
                    .filter(attempt -> attempt.job.equals(job.id()) && !attempt.hasExited())
                    .count();
        }
        return placed < job.tasks();
    }

    private boolean isUnderQuota(Job job) {
        double used = job.cpus();
        for (SimWorker worker : cluster.workers()) {
            for (SimAttempt attempt : worker.attempts()) {
                Job other = cluster.users.job(attempt.job);
                used += !attempt.hasExited() && other.team().equals(job.team()) ? other.cpus() : 0;
            }
        }
        double quota = cluster.settings.teams().get(job.team()).maxCpus();
        return quota <= 0 || used <= quota + CPU_TOLERANCE;
    }
}
