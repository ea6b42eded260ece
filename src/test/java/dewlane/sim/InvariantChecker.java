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

    private final SimCluster world;
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Map<String, Condition> finals = new HashMap<>();
    private final Map<String, Long> finalsAt = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private final Set<String> everStarted = new HashSet<>();
    private final Map<String, Condition> last = new HashMap<>();
    /** By job and machine, since when the job waits while that machine has room for it. */
    private final Map<String, Map<String, Long>> waitsBeside = new HashMap<>();

    int starts;
    /** Starts after their job's cancellation was confirmed, by launches that were on their way by then. */
    int startsInFlight;
    /** A launch sent longer after a confirmation than a controller's view may lag is one it should not have sent. */
    private static final long VIEW_MS = 3000;

    private static final long MOST_WAIT_MS = 90_000;

    InvariantChecker(SimCluster world) {
        this.world = world;
    }

    void broken(String rule, String what) {
        String job = what.split("[ /]")[0];
        throw new Violation(
                rule,
                "seed " + world.seed + " at " + world.now() + " ms: " + rule + ": " + what + "\n" + world.lately(job));
    }

    boolean doneTask(String job, int task) {
        return done.getOrDefault(job, Set.of()).contains(task);
    }

    void finished(String job, int task) {
        done.computeIfAbsent(job, j -> new HashSet<>()).add(task);
    }

    void asked(String job) {
        asked.add(job);
    }

    boolean allTasksDone(String job) {
        return done.getOrDefault(job, Set.of()).size() == world.users.job(job).tasks();
    }

    void started(SimWorker on, SimAttempt task) {
        starts++;
        if (finals.get(task.job) == Condition.ABORTED) {
            startsInFlight++;
            if (task.orderedAt - finalsAt.get(task.job) > VIEW_MS) {
                broken(
                        "started_cancelled",
                        task.job + "/" + task.number + " on " + on.name + ", launched "
                                + (task.orderedAt - finalsAt.get(task.job))
                                + " ms after its cancellation was confirmed");
            }
        }
        Job job = world.users.job(task.job);
        String name = task.job + "/" + task.number;
        everStarted.add(task.job);
        for (String awaited : job.awaits()) {
            if (!allTasksDone(awaited)) {
                broken("too_early", name + " started before " + awaited + " was done");
            }
        }
        checkPlace(on, task, job, name);
        checkLimit(job, name);
    }

    /** No task is on two machines, and all are where their job allows them beside each other. */
    private void checkPlace(SimWorker on, SimAttempt task, Job job, String name) {
        int sameZone = 0;
        for (SimWorker m : world.cloud.machines.values()) {
            for (SimAttempt t : m.tasks.values()) {
                if (!t.on() || t == task || !t.job.equals(task.job)) {
                    continue;
                }
                if (t.number == task.number) {
                    broken(
                            "ran_twice",
                            name + " on " + on.name + " #" + task.attempt + " and " + m.name + " #" + t.attempt);
                }
                sameZone += m.zone.equals(on.zone) ? 1 : 0;
                if (job.oneZone() && !m.zone.equals(on.zone)) {
                    broken("wrong_place", name + " not in the zone of its job");
                }
            }
        }
        if (!job.allows(on.type.name(), on.zone, on.spot) || (job.spread() && sameZone + 1 > (job.tasks() + 1) / 2)) {
            broken("wrong_place", name + " on " + on.name);
        }
    }

    private void checkLimit(Job job, String name) {
        Settings.Team team = world.settings.teams().get(job.team());
        double used = 0;
        for (SimWorker m : world.cloud.machines.values()) {
            for (SimAttempt t : m.tasks.values()) {
                Job other = world.users.job(t.job);
                used += t.on() && other.team().equals(team.name()) ? other.cpus() : 0;
            }
        }
        if (team.cpusMax() > 0 && used > team.cpusMax() + 1e-9) {
            broken("quota", name + " takes " + team.name() + " to " + used);
        }
    }

    void told(String job, Condition condition, long askedAt) {
        last.put(job, finals.getOrDefault(job, condition));
        if (condition == Condition.DONE
                && done.getOrDefault(job, Set.of()).size()
                        < world.users.job(job).tasks()) {
            broken("not_done", job + " was called done");
        }
        checkCancellation(job, condition, askedAt);
        Condition known = finals.get(job);
        // An answer to a question asked before the final state was told may overtake it on the way.
        if (known != null
                && condition != known
                && (askedAt > finalsAt.get(job) && askedAt != Long.MAX_VALUE
                        || condition == Condition.DONE
                        || condition == Condition.ABORTED)) {
            broken("went_back", job + " was called " + known + ", then " + condition);
        }
        if (known == null && (condition == Condition.DONE || condition == Condition.ABORTED)) {
            finals.put(job, condition);
            finalsAt.put(job, world.now());
            last.put(job, condition);
        }
    }

    /** Cancellations pass down to all jobs that need the cancelled one, within the time they have, and to no others. */
    private void checkCancellation(String job, Condition condition, long askedAt) {
        boolean askedSelf = asked.contains(job);
        if (condition == Condition.ABORTED && !askedSelf) {
            boolean through = needs(job).stream().anyMatch(a -> asked.contains(a) && finals.get(a) != Condition.DONE);
            if (!through) {
                broken("went_back", job + " was called cancelled, but nobody asked");
            }
            if (everStarted.contains(job)) {
                broken("cancelled_after_start", job + " had a task, so all that it awaited was done");
            }
        }
        if (condition == Condition.PENDING || condition == Condition.RUNNING) {
            for (String ancestor : needs(job)) {
                long toldAt = finalsAt.getOrDefault(ancestor, Long.MAX_VALUE);
                if (finals.get(ancestor) == Condition.ABORTED
                        && askedAt != Long.MAX_VALUE
                        && askedAt - toldAt > world.settings.cancelS() * 1000) {
                    broken(
                            "orphaned",
                            job + " is called " + condition + ", " + ancestor + " was cancelled at " + toldAt);
                }
            }
        }
    }

    /** All jobs that the job needs, directly or through others. */
    private Set<String> needs(String job) {
        Set<String> needed = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(world.users.job(job).awaits());
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (needed.add(id)) {
                queue.addAll(world.users.job(id).awaits());
            }
        }
        return needed;
    }

    /**
     * From now on, with all troubles over, no job waits for 90 s while a machine that fits has room and its team is
     * under its limit. Jobs that are bound to places by their other tasks are left out.
     */
    void watchWaiting() {
        world.every(1000, () -> {
            for (String id : world.users.accepted()) {
                Job job = world.users.job(id);
                boolean waits = !world.users.isOver(id) && !job.placesLinked() && waits(job) && underLimit(job);
                Map<String, Long> beside = waitsBeside.computeIfAbsent(id, k -> new HashMap<>());
                beside.keySet().removeIf(name -> !waits || !world.cloud.machines.containsKey(name));
                for (SimWorker m : waits ? world.cloud.machines.values() : List.<SimWorker>of()) {
                    if (!m.hasRoom(job)) {
                        beside.remove(m.name);
                    } else if (world.now() - beside.computeIfAbsent(m.name, k -> world.now()) > MOST_WAIT_MS) {
                        broken(
                                "left_waiting",
                                id + " waits beside room on " + m.name + " of "
                                        + dewlane.core.Partitions.owner(
                                                (dewlane.core.Value.ClusterMap) world.state.get(dewlane.core.Keys.MAP),
                                                m.name)
                                        + "\n" + world.lately(m.name) + world.describe(id));
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
        for (SimWorker m : world.cloud.machines.values()) {
            held += m.tasks.values().stream()
                    .filter(t -> t.job.equals(job.id()) && t.phase != dewlane.core.Report.Phase.EXITED)
                    .count();
        }
        return held < job.tasks();
    }

    private boolean underLimit(Job job) {
        double used = job.cpus();
        for (SimWorker m : world.cloud.machines.values()) {
            for (SimAttempt t : m.tasks.values()) {
                Job other = world.users.job(t.job);
                used += t.phase != dewlane.core.Report.Phase.EXITED
                                && other.team().equals(job.team())
                        ? other.cpus()
                        : 0;
            }
        }
        double most = world.settings.teams().get(job.team()).cpusMax();
        return most <= 0 || used <= most + 1e-9;
    }

    Condition lastTold(String job) {
        return last.get(job);
    }

    /** Checked after every step of the world. */
    void check() {
        if (!finals.containsValue(Condition.ABORTED)) {
            return;
        }
        for (SimWorker m : world.cloud.machines.values()) {
            for (SimAttempt t : m.tasks.values()) {
                if (t.on()
                        && finals.get(t.job) == Condition.ABORTED
                        && world.now() - finalsAt.get(t.job) > world.settings.cancelS() * 1000) {
                    broken(
                            "ran_cancelled",
                            t.job + "/" + t.number + " on " + m.name + "\n" + world.lately(m.name)
                                    + world.lately("strike"));
                }
            }
        }
    }
}
