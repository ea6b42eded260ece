package dewlane.sim;

import dewlane.core.Effect.Condition;
import dewlane.core.Job;
import dewlane.core.Settings;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The protocol's rules, checked against what the stand-ins know to be true. */
final class InvariantChecker {
    /** A broken rule. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1;
        final String rule;

        Violation(String rule, String text) {
            super(text);
            this.rule = rule;
        }
    }

    private final SimCluster cluster;
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Map<String, Condition> finals = new HashMap<>();
    private final Map<String, Long> finalsAt = new HashMap<>();
    private final Set<String> cancellationsRequested = new HashSet<>();
    private final Set<String> everStarted = new HashSet<>();
    private final Map<String, Condition> last = new HashMap<>();
    /** By job and machine, since when the job waits while that machine has room for it. */
    private final Map<String, Map<String, Long>> waitsBeside = new HashMap<>();

    int taskStarts;
    /** Starts after their job's cancellation was confirmed, by launches that were on their way by then. */
    int taskStartsInFlight;
    /** A launch sent longer after a confirmation than a controller's view may lag is one it should not have sent. */
    private static final long VIEW_MS = 3000;

    private static final long MOST_WAIT_MS = 90_000;

    InvariantChecker(SimCluster cluster) {
        this.cluster = cluster;
    }

    void violated(String rule, String what) {
        String job = what.split("[ /]")[0];
        throw new Violation(
                rule,
                "seed " + cluster.seed + " at " + cluster.now() + " ms: " + rule + ": " + what + "\n"
                        + cluster.recentTrace(job));
    }

    boolean isTaskDone(String job, int task) {
        return done.getOrDefault(job, Set.of()).contains(task);
    }

    void taskDone(String job, int task) {
        done.computeIfAbsent(job, j -> new HashSet<>()).add(task);
    }

    void cancellationRequested(String job) {
        cancellationsRequested.add(job);
    }

    boolean allTasksDone(String job) {
        return done.getOrDefault(job, Set.of()).size() == cluster.users.job(job).tasks();
    }

    void taskStarted(SimWorker on, SimAttempt task) {
        taskStarts++;
        if (finals.get(task.job) == Condition.ABORTED) {
            taskStartsInFlight++;
            if (task.launchSentAt - finalsAt.get(task.job) > VIEW_MS) {
                violated(
                        "started_cancelled",
                        task.job + "/" + task.task + " on " + on.name + ", launched "
                                + (task.launchSentAt - finalsAt.get(task.job))
                                + " ms after its cancellation was confirmed");
            }
        }
        Job job = cluster.users.job(task.job);
        String name = task.job + "/" + task.task;
        everStarted.add(task.job);
        for (String awaited : job.awaits()) {
            if (!allTasksDone(awaited)) {
                violated("too_early", name + " started before " + awaited + " was done");
            }
        }
        checkPlace(on, task, job, name);
        checkLimit(job, name);
    }

    /** No task is on two machines, and all are where their job allows them beside each other. */
    private void checkPlace(SimWorker on, SimAttempt task, Job job, String name) {
        int sameZone = 0;
        for (SimWorker m : cluster.cloud.machines.values()) {
            for (SimAttempt t : m.attempts.values()) {
                if (!t.occupiesMachine() || t == task || !t.job.equals(task.job)) {
                    continue;
                }
                if (t.task == task.task) {
                    violated(
                            "ran_twice",
                            name + " on " + on.name + " #" + task.attempt + " and " + m.name + " #" + t.attempt);
                }
                sameZone += m.zone.equals(on.zone) ? 1 : 0;
                if (job.oneZone() && !m.zone.equals(on.zone)) {
                    violated("wrong_place", name + " not in the zone of its job");
                }
            }
        }
        if (!job.allows(on.type.name(), on.zone, on.spot) || (job.spread() && sameZone + 1 > (job.tasks() + 1) / 2)) {
            violated("wrong_place", name + " on " + on.name);
        }
    }

    private void checkLimit(Job job, String name) {
        Settings.Team team = cluster.settings.teams().get(job.team());
        double used = 0;
        for (SimWorker m : cluster.cloud.machines.values()) {
            for (SimAttempt t : m.attempts.values()) {
                Job other = cluster.users.job(t.job);
                used += t.occupiesMachine() && other.team().equals(team.name()) ? other.cpus() : 0;
            }
        }
        if (team.cpusMax() > 0 && used > team.cpusMax() + 1e-9) {
            violated("quota", name + " takes " + team.name() + " to " + used);
        }
    }

    void conditionReported(String job, Condition condition, long askedAt) {
        last.put(job, finals.getOrDefault(job, condition));
        if (condition == Condition.DONE
                && done.getOrDefault(job, Set.of()).size()
                        < cluster.users.job(job).tasks()) {
            violated("not_done", job + " was called done");
        }
        checkCancellation(job, condition, askedAt);
        Condition known = finals.get(job);
        // An answer to a question asked before the final state was told may overtake it on the way.
        if (known != null
                && condition != known
                && (askedAt > finalsAt.get(job) && askedAt != Long.MAX_VALUE
                        || condition == Condition.DONE
                        || condition == Condition.ABORTED)) {
            violated("went_back", job + " was called " + known + ", then " + condition);
        }
        if (known == null && (condition == Condition.DONE || condition == Condition.ABORTED)) {
            finals.put(job, condition);
            finalsAt.put(job, cluster.now());
            last.put(job, condition);
        }
    }

    /** Cancellations pass down to all jobs that need the cancelled one, within the time they have, and to no others. */
    private void checkCancellation(String job, Condition condition, long askedAt) {
        boolean askedSelf = cancellationsRequested.contains(job);
        if (condition == Condition.ABORTED && !askedSelf) {
            boolean through = needs(job).stream()
                    .anyMatch(a -> cancellationsRequested.contains(a) && finals.get(a) != Condition.DONE);
            if (!through) {
                violated("went_back", job + " was called cancelled, but nobody asked");
            }
            if (everStarted.contains(job)) {
                violated("cancelled_after_start", job + " had a task, so all that it awaited was done");
            }
        }
        if (condition == Condition.PENDING || condition == Condition.RUNNING) {
            for (String ancestor : needs(job)) {
                long toldAt = finalsAt.getOrDefault(ancestor, Long.MAX_VALUE);
                if (finals.get(ancestor) == Condition.ABORTED
                        && askedAt != Long.MAX_VALUE
                        && askedAt - toldAt > cluster.settings.cancelS() * 1000) {
                    violated(
                            "orphaned",
                            job + " is called " + condition + ", " + ancestor + " was cancelled at " + toldAt);
                }
            }
        }
    }

    /** All jobs that the job needs, directly or through others. */
    private Set<String> needs(String job) {
        Set<String> needed = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(cluster.users.job(job).awaits());
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (needed.add(id)) {
                queue.addAll(cluster.users.job(id).awaits());
            }
        }
        return needed;
    }

    /**
     * From now on, with all troubles over, no job waits for 90 s while a machine that fits has room and its team is
     * under its limit. Jobs that are bound to places by their other tasks are left out.
     */
    void watchForStarvation() {
        cluster.every(1000, () -> {
            for (String id : cluster.users.accepted()) {
                Job job = cluster.users.job(id);
                boolean waits = !cluster.users.isFinished(id) && !job.placesLinked() && waits(job) && underLimit(job);
                Map<String, Long> beside = waitsBeside.computeIfAbsent(id, k -> new HashMap<>());
                beside.keySet().removeIf(name -> !waits || !cluster.cloud.machines.containsKey(name));
                for (SimWorker m : waits ? cluster.cloud.machines.values() : List.<SimWorker>of()) {
                    if (!m.hasRoom(job)) {
                        beside.remove(m.name);
                    } else if (cluster.now() - beside.computeIfAbsent(m.name, k -> cluster.now()) > MOST_WAIT_MS) {
                        violated(
                                "left_waiting",
                                id + " waits beside room on " + m.name + " of "
                                        + dewlane.core.Partitions.owner(
                                                (dewlane.core.Value.ClusterMap)
                                                        cluster.store.get(dewlane.core.Keys.MAP),
                                                m.name)
                                        + "\n" + cluster.recentTrace(m.name) + cluster.describeJob(id));
                    }
                }
            }
        });
    }

    private boolean waits(Job job) {
        if (!job.awaits().stream().allMatch(this::allTasksDone)) {
            return false;
        }
        long held = done.getOrDefault(job.id(), Set.of()).size();
        for (SimWorker m : cluster.cloud.machines.values()) {
            held += m.attempts.values().stream()
                    .filter(t -> t.job.equals(job.id()) && t.phase != dewlane.core.Report.Phase.EXITED)
                    .count();
        }
        return held < job.tasks();
    }

    private boolean underLimit(Job job) {
        double used = job.cpus();
        for (SimWorker m : cluster.cloud.machines.values()) {
            for (SimAttempt t : m.attempts.values()) {
                Job other = cluster.users.job(t.job);
                used += t.phase != dewlane.core.Report.Phase.EXITED
                                && other.team().equals(job.team())
                        ? other.cpus()
                        : 0;
            }
        }
        double most = cluster.settings.teams().get(job.team()).cpusMax();
        return most <= 0 || used <= most + 1e-9;
    }

    Condition lastReportedCondition(String job) {
        return last.get(job);
    }

    /** Checked after every step of the world. */
    void checkCancelledTasks() {
        if (!finals.containsValue(Condition.ABORTED)) {
            return;
        }
        for (SimWorker m : cluster.cloud.machines.values()) {
            for (SimAttempt t : m.attempts.values()) {
                if (t.occupiesMachine()
                        && finals.get(t.job) == Condition.ABORTED
                        && cluster.now() - finalsAt.get(t.job) > cluster.settings.cancelS() * 1000) {
                    violated(
                            "ran_cancelled",
                            t.job + "/" + t.task + " on " + m.name + "\n" + cluster.recentTrace(m.name)
                                    + cluster.recentTrace("strike"));
                }
            }
        }
    }
}
