package dewlane.sim;

import dewlane.core.Effect;
import dewlane.core.Effect.Condition;
import dewlane.core.Job;
import dewlane.core.JobBuilder;
import dewlane.core.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Users who submit, poll and cancel through whichever node answers. */
final class SimUsers {
    private final SimCluster world;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    final List<String> accepted = new ArrayList<>();
    /** When a question about the job was last answered. */
    private final Map<String, Long> answeredAt = new HashMap<>();

    private int next = 1;
    /** The share of jobs that are cancelled at the moment at which their last task ends. */
    double cancelAtEnd;
    /** The share of jobs that await others. */
    double pipelines;
    /** Answers to odd requests that were as they should be. */
    int oddAnswers;

    SimUsers(SimCluster world) {
        this.world = world;
    }

    Job job(String id) {
        return jobs.get(id);
    }

    void submitOne() {
        String id = String.format("wk-%06d", next++);
        String team = List.of("blue", "red", "green").get(world.random.nextInt(3));
        boolean oneZone = world.chance(0.15);
        Job job = JobBuilder.job(id)
                .team(team)
                .priority(Priority.values()[world.random.nextInt(4)])
                .tasks(world.between(1, 14))
                .cpus(world.between(1, 2))
                .memoryGb(world.between(1, 5))
                .image("image-" + world.random.nextInt(3))
                .types(world.chance(0.2) ? List.of("large") : List.of())
                .zone(world.chance(0.2) ? "east" : null)
                .oneZone(oneZone)
                .spread(!oneZone && world.chance(0.15))
                .spot(world.chance(0.7))
                .estimateS(world.between(1, 12))
                .checkpointS(world.chance(0.5) ? 5 : 0)
                .saveS(world.chance(0.5) ? 2 : 0)
                .deadlineS(world.chance(pipelines) ? 60 : 0)
                .build();
        submit(world.chance(pipelines) ? job.withAwaits(someAccepted()) : job);
        if (world.chance(0.25)) {
            world.after(world.between(50, 25_000), () -> abort(id, 0));
        }
    }

    /** A few accepted jobs, mostly late ones, in whatever state they are. */
    private List<String> someAccepted() {
        Set<String> chosen = new LinkedHashSet<>();
        for (int n = world.between(1, 4); n > 0 && !accepted.isEmpty(); n--) {
            int from = world.chance(0.7) ? Math.max(0, accepted.size() - 6) : 0;
            chosen.add(accepted.get(world.between(from, accepted.size() - 1)));
        }
        return List.copyOf(chosen);
    }

    void submit(Job job) {
        know(job);
        submit(job, 0);
    }

    /** A job whose submission a test makes itself. */
    void know(Job job) {
        jobs.put(job.id(), job);
    }

    void cancel(String id) {
        abort(id, 0);
    }

    /** Cancels through the given controller, once. */
    void cancelAt(SimController node, String id) {
        world.checker.asked(id);
        node.abort(id, a -> told(id, a));
    }

    /** Asks the given controller about a job, once. */
    void pollAt(SimController node, String id) {
        long askedAt = world.now();
        boolean known = answeredAt.containsKey(id);
        node.poll(id, a -> {
            if (a.status() == 404 && known) {
                world.checker.broken("forgotten", id + " accepted before " + askedAt);
            }
            told(id, a, askedAt);
        });
    }

    /** Sends a job's submission once more, to the given controller. */
    void repeatAt(SimController node, String id) {
        node.submit(job(id), a -> told(id, a));
    }

    /** A task has completed; with its job's last one, its user may call the job off. */
    void ended(String job) {
        if (cancelAtEnd > 0 && world.checker.allTasksDone(job) && world.chance(cancelAtEnd)) {
            abort(job, 0);
        }
    }

    /** Calls off so many jobs that have tasks on machines, each through whichever node. */
    List<String> cancelSome(int count) {
        List<String> chosen = accepted.stream()
                .filter(id ->
                        !isOver(id) && world.cloud.machines.values().stream().anyMatch(m -> m.running(id) > 0))
                .limit(count)
                .toList();
        chosen.forEach(id -> world.after(world.between(0, 200), () -> abort(id, 0)));
        return chosen;
    }

    /**
     * What users should not send: a job that fits no machine, one that lacks a field, a submission once more, the
     * cancellation of a job that is done.
     */
    void oddRequest() {
        SimController node = anyNode();
        if (node == null) {
            return;
        }
        String id = String.format("wk-%06d", 900_000 + next);
        switch (world.random.nextInt(pipelines > 0 ? 5 : 4)) {
            case 0 -> {
                Job huge = JobBuilder.job(id)
                        .team("red")
                        .tasks(2)
                        .cpus(999)
                        .estimateS(5)
                        .build();
                node.submit(huge, a -> expect(a, 422, "a job that fits no machine"));
            }
            case 4 -> {
                Job stranger =
                        SimFixtures.job(900_000 + next, Priority.HIGH, 1, 1, 1).withAwaits(List.of("wk-999999"));
                node.submit(stranger, a -> expect(a, 422, "a job that awaits one that was never accepted"));
            }
            case 1 -> node.submitMalformed(id, a -> expect(a, 400, "a job that lacks a field"));
            case 2 ->
                accepted.stream()
                        .filter(known -> !isOver(known))
                        .findAny()
                        .ifPresent(known -> node.submit(job(known), a -> told(known, a)));
            default ->
                accepted.stream()
                        .filter(known -> world.checker.lastTold(known) == Condition.DONE)
                        .findAny()
                        .ifPresent(known -> node.abort(known, a -> {
                            expect(a, 200, "cancelling what is done");
                            told(known, a);
                        }));
        }
    }

    private void expect(Effect.AnswerUser a, int status, String what) {
        if (a.status() != status && a.status() != 503) {
            world.checker.broken("accepted_odd", what + " was answered " + a);
        }
        oddAnswers += a.status() == status ? 1 : 0;
    }

    private SimController anyNode() {
        List<SimController> up =
                world.nodes.values().stream().filter(n -> n.alive).toList();
        return up.isEmpty() ? null : up.get(world.random.nextInt(up.size()));
    }

    private void submit(Job job, int tries) {
        SimController node = anyNode();
        boolean[] answered = {false};
        world.after(5000, () -> {
            if (!answered[0] && tries < 12) {
                submit(job, tries + 1);
            }
        });
        if (node != null) {
            world.deliver(() -> node.submit(
                    job,
                    a -> world.deliver(() -> {
                        answered[0] |= a.status() < 300;
                        told(job.id(), a);
                        if (a.status() >= 300 && !answered[0] && tries < 12) {
                            answered[0] = true;
                            world.after(1000, () -> submit(job, tries + 1));
                        }
                    })));
        }
    }

    private void abort(String id, int tries) {
        SimController node = anyNode();
        boolean[] answered = {false};
        world.after(5000, () -> {
            if (!answered[0] && tries < 12) {
                abort(id, tries + 1);
            }
        });
        world.checker.asked(id);
        if (node != null) {
            world.deliver(() -> node.abort(
                    id,
                    a -> world.deliver(() -> {
                        answered[0] = a.status() == 200;
                        told(id, a);
                    })));
        }
    }

    void pollSome() {
        List<String> all = List.copyOf(jobs.keySet());
        SimController node = anyNode();
        if (!all.isEmpty() && node != null) {
            String id = all.get(world.random.nextInt(all.size()));
            boolean known = answeredAt.containsKey(id);
            long askedAt = world.now();
            world.deliver(() -> node.poll(
                    id,
                    a -> world.deliver(() -> {
                        if (a.status() == 404 && known) {
                            world.checker.broken("forgotten", id + " accepted before " + askedAt);
                        }
                        told(id, a, askedAt);
                    })));
        }
        if (node != null && world.chance(0.1)) {
            node.poll("wk-999999", a -> {
                if (a.status() == 200) {
                    world.checker.broken("invented", "wk-999999");
                }
            });
        }
    }

    private void told(String id, Effect.AnswerUser a) {
        told(id, a, Long.MAX_VALUE);
    }

    private void told(String id, Effect.AnswerUser a, long askedAt) {
        if (a.status() != 200 && a.status() != 201) {
            if (a.status() == 422 || a.status() == 400) {
                throw new AssertionError("a good job was rejected: " + a);
            }
            return;
        }
        if (!answeredAt.containsKey(id)) {
            accepted.add(id);
        }
        answeredAt.put(id, world.now());
        world.checker.told(id, a.state().condition(), askedAt);
    }

    /**
     * Asks about every accepted job that is not known to be over, every 5 s from now on, whichever node it may be, and
     * has the checker see to it that none waits 75 s for an answer, however the others fare.
     */
    void askAboutAll() {
        long from = world.now();
        world.every(5000, () -> {
            for (String id : List.copyOf(accepted)) {
                if (isOver(id)) {
                    continue;
                }
                if (world.now() - Math.max(from, answeredAt.get(id)) > 75_000) {
                    world.checker.broken("forgotten", id + " got no answer for 75 s");
                }
                SimController node = anyNode();
                if (node != null) {
                    node.poll(id, a -> told(id, a));
                }
            }
        });
    }

    List<String> accepted() {
        return accepted;
    }

    boolean isOver(String id) {
        Condition c = world.checker.lastTold(id);
        return c == Condition.DONE || c == Condition.ABORTED;
    }
}
