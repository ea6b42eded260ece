package dewlane.sim;

import dewlane.core.Effect.Condition;
import dewlane.core.Job;
import dewlane.core.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The protocol's rules, checked against what the stand-ins know to be true. */
final class Checker {
    /** A broken rule. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1;
        final String rule;

        Violation(String rule, String text) {
            super(text);
            this.rule = rule;
        }
    }

    private final World world;
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Map<String, Condition> finals = new HashMap<>();
    private final Map<String, Long> finalsAt = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private final Map<String, Condition> last = new HashMap<>();
    int starts;

    Checker(World world) {
        this.world = world;
    }

    void broken(String rule, String what) {
        String job = what.split("[ /]")[0];
        throw new Violation(rule, "seed " + world.seed + " at " + world.now() + " ms: " + rule + ": " + what + "\n" + world.lately(job));
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

    void started(SimWorker on, SimWorker.Task task) {
        starts++;
        Job job = world.users.job(task.job);
        String name = task.job + "/" + task.number;
        int sameZone = 0;
        for (SimWorker m : world.cloud.machines.values()) {
            for (SimWorker.Task t : m.tasks.values()) {
                if (!t.on() || t == task || !t.job.equals(task.job)) {
                    continue;
                }
                if (t.number == task.number) {
                    broken("ran_twice", name + " on " + on.name + " #" + task.attempt + " and " + m.name + " #" + t.attempt);
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
        Settings.Team team = world.settings.teams().get(job.team());
        double used = 0;
        for (SimWorker m : world.cloud.machines.values()) {
            for (SimWorker.Task t : m.tasks.values()) {
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
        if (condition == Condition.DONE && done.getOrDefault(job, Set.of()).size() < world.users.job(job).tasks()) {
            broken("not_done", job + " was called done");
        }
        if (condition == Condition.ABORTED && !asked.contains(job)) {
            broken("went_back", job + " was called cancelled, but nobody asked");
        }
        Condition known = finals.get(job);
        // An answer to a question asked before the final state was told may overtake it on the way.
        if (known != null && condition != known && (askedAt > finalsAt.get(job) && askedAt != Long.MAX_VALUE
                || condition == Condition.DONE || condition == Condition.ABORTED)) {
            broken("went_back", job + " was called " + known + ", then " + condition);
        }
        if (known == null && (condition == Condition.DONE || condition == Condition.ABORTED)) {
            finals.put(job, condition);
            finalsAt.put(job, world.now());
            last.put(job, condition);
        }
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
            for (SimWorker.Task t : m.tasks.values()) {
                if (t.on() && finals.get(t.job) == Condition.ABORTED
                        && world.now() - finalsAt.get(t.job) > world.settings.cancelS() * 1000) {
                    broken("ran_cancelled", t.job + "/" + t.number + " on " + m.name);
                }
            }
        }
    }
}
