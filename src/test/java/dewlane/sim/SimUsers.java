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
    private final SimCluster cluster;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    final List<String> accepted = new ArrayList<>();
    /** When a question about the job was last answered. */
    private final Map<String, Long> answeredAt = new HashMap<>();

    private int next = 1;
    /** The share of jobs that are cancelled at the moment at which their last task ends. */
    double cancelOnCompletionRate;
    /** The share of jobs that await others. */
    double dependencyRate;
    /** Answers to odd requests that were as they should be. */
    int oddAnswers;

    SimUsers(SimCluster cluster) {
        this.cluster = cluster;
    }

    Job job(String id) {
        return jobs.get(id);
    }

    void submitRandomJob() {
        String id = String.format("wk-%06d", next++);
        String team = List.of("blue", "red", "green").get(cluster.random.nextInt(3));
        boolean oneZone = cluster.chance(0.15);
        Job job = JobBuilder.job(id)
                .team(team)
                .priority(Priority.values()[cluster.random.nextInt(4)])
                .tasks(cluster.between(1, 14))
                .cpus(cluster.between(1, 2))
                .memoryGb(cluster.between(1, 5))
                .image("image-" + cluster.random.nextInt(3))
                .types(cluster.chance(0.2) ? List.of("large") : List.of())
                .zone(cluster.chance(0.2) ? "east" : null)
                .oneZone(oneZone)
                .spread(!oneZone && cluster.chance(0.15))
                .spot(cluster.chance(0.7))
                .estimateS(cluster.between(1, 12))
                .checkpointS(cluster.chance(0.5) ? 5 : 0)
                .saveS(cluster.chance(0.5) ? 2 : 0)
                .deadlineS(cluster.chance(dependencyRate) ? 60 : 0)
                .build();
        submit(cluster.chance(dependencyRate) ? job.withAwaits(someAccepted()) : job);
        if (cluster.chance(0.25)) {
            cluster.after(cluster.between(50, 25_000), () -> abort(id, 0));
        }
    }

    /** A few accepted jobs, mostly late ones, in whatever state they are. */
    private List<String> someAccepted() {
        Set<String> chosen = new LinkedHashSet<>();
        for (int n = cluster.between(1, 4); n > 0 && !accepted.isEmpty(); n--) {
            int from = cluster.chance(0.7) ? Math.max(0, accepted.size() - 6) : 0;
            chosen.add(accepted.get(cluster.between(from, accepted.size() - 1)));
        }
        return List.copyOf(chosen);
    }

    void submit(Job job) {
        register(job);
        submit(job, 0);
    }

    /** A job whose submission a test makes itself. */
    void register(Job job) {
        jobs.put(job.id(), job);
    }

    void cancel(String id) {
        abort(id, 0);
    }

    /** Cancels through the given controller, once. */
    void cancelThrough(SimController controller, String id) {
        cluster.checker.cancellationRequested(id);
        controller.abort(id, a -> onReply(id, a));
    }

    /** Asks the given controller about a job, once. */
    void pollThrough(SimController controller, String id) {
        long askedAt = cluster.now();
        boolean known = answeredAt.containsKey(id);
        controller.poll(id, a -> {
            if (a.status() == 404 && known) {
                cluster.checker.violated("forgotten", id + " accepted before " + askedAt);
            }
            onReply(id, a, askedAt);
        });
    }

    /** Sends a job's submission once more, to the given controller. */
    void resubmitThrough(SimController controller, String id) {
        controller.submit(job(id), a -> onReply(id, a));
    }

    /** A task has completed; with its job's last one, its user may call the job off. */
    void onTaskDone(String job) {
        if (cancelOnCompletionRate > 0 && cluster.checker.allTasksDone(job) && cluster.chance(cancelOnCompletionRate)) {
            abort(job, 0);
        }
    }

    /** Calls off so many jobs that have tasks on machines, each through whichever node. */
    List<String> cancelRunning(int count) {
        List<String> chosen = accepted.stream()
                .filter(id -> !isFinished(id)
                        && cluster.cloud.machines.values().stream().anyMatch(m -> m.runningTasks(id) > 0))
                .limit(count)
                .toList();
        chosen.forEach(id -> cluster.after(cluster.between(0, 200), () -> abort(id, 0)));
        return chosen;
    }

    /**
     * What users should not send: a job that fits no machine, one that lacks a field, a submission once more, the
     * cancellation of a job that is done.
     */
    void sendUnusualRequest() {
        SimController controller = anyNode();
        if (controller == null) {
            return;
        }
        String id = String.format("wk-%06d", 900_000 + next);
        switch (cluster.random.nextInt(dependencyRate > 0 ? 5 : 4)) {
            case 0 -> {
                Job huge = JobBuilder.job(id)
                        .team("red")
                        .tasks(2)
                        .cpus(999)
                        .estimateS(5)
                        .build();
                controller.submit(huge, a -> expectStatus(a, 422, "a job that fits no machine"));
            }
            case 4 -> {
                Job stranger =
                        SimFixtures.job(900_000 + next, Priority.HIGH, 1, 1, 1).withAwaits(List.of("wk-999999"));
                controller.submit(stranger, a -> expectStatus(a, 422, "a job that awaits one that was never accepted"));
            }
            case 1 -> controller.submitMalformed(id, a -> expectStatus(a, 400, "a job that lacks a field"));
            case 2 ->
                accepted.stream()
                        .filter(known -> !isFinished(known))
                        .findAny()
                        .ifPresent(known -> controller.submit(job(known), a -> onReply(known, a)));
            default ->
                accepted.stream()
                        .filter(known -> cluster.checker.lastReportedCondition(known) == Condition.DONE)
                        .findAny()
                        .ifPresent(known -> controller.abort(known, a -> {
                            expectStatus(a, 200, "cancelling what is done");
                            onReply(known, a);
                        }));
        }
    }

    private void expectStatus(Effect.AnswerUser a, int status, String what) {
        if (a.status() != status && a.status() != 503) {
            cluster.checker.violated("accepted_odd", what + " was answered " + a);
        }
        oddAnswers += a.status() == status ? 1 : 0;
    }

    private SimController anyNode() {
        List<SimController> up =
                cluster.controllers.values().stream().filter(n -> n.alive).toList();
        return up.isEmpty() ? null : up.get(cluster.random.nextInt(up.size()));
    }

    private void submit(Job job, int tries) {
        SimController controller = anyNode();
        boolean[] answered = {false};
        cluster.after(5000, () -> {
            if (!answered[0] && tries < 12) {
                submit(job, tries + 1);
            }
        });
        if (controller != null) {
            cluster.deliver(() -> controller.submit(
                    job,
                    a -> cluster.deliver(() -> {
                        answered[0] |= a.status() < 300;
                        onReply(job.id(), a);
                        if (a.status() >= 300 && !answered[0] && tries < 12) {
                            answered[0] = true;
                            cluster.after(1000, () -> submit(job, tries + 1));
                        }
                    })));
        }
    }

    private void abort(String id, int tries) {
        SimController controller = anyNode();
        boolean[] answered = {false};
        cluster.after(5000, () -> {
            if (!answered[0] && tries < 12) {
                abort(id, tries + 1);
            }
        });
        cluster.checker.cancellationRequested(id);
        if (controller != null) {
            cluster.deliver(() -> controller.abort(
                    id,
                    a -> cluster.deliver(() -> {
                        answered[0] = a.status() == 200;
                        onReply(id, a);
                    })));
        }
    }

    void pollRandomJob() {
        List<String> all = List.copyOf(jobs.keySet());
        SimController controller = anyNode();
        if (!all.isEmpty() && controller != null) {
            String id = all.get(cluster.random.nextInt(all.size()));
            boolean known = answeredAt.containsKey(id);
            long askedAt = cluster.now();
            cluster.deliver(() -> controller.poll(
                    id,
                    a -> cluster.deliver(() -> {
                        if (a.status() == 404 && known) {
                            cluster.checker.violated("forgotten", id + " accepted before " + askedAt);
                        }
                        onReply(id, a, askedAt);
                    })));
        }
        if (controller != null && cluster.chance(0.1)) {
            controller.poll("wk-999999", a -> {
                if (a.status() == 200) {
                    cluster.checker.violated("invented", "wk-999999");
                }
            });
        }
    }

    private void onReply(String id, Effect.AnswerUser a) {
        onReply(id, a, Long.MAX_VALUE);
    }

    private void onReply(String id, Effect.AnswerUser a, long askedAt) {
        if (a.status() != 200 && a.status() != 201) {
            if (a.status() == 422 || a.status() == 400) {
                throw new AssertionError("a good job was rejected: " + a);
            }
            return;
        }
        if (!answeredAt.containsKey(id)) {
            accepted.add(id);
        }
        answeredAt.put(id, cluster.now());
        cluster.checker.conditionReported(id, a.state().condition(), askedAt);
    }

    /**
     * Asks about every accepted job that is not known to be over, every 5 s from now on, whichever node it may be, and
     * has the checker see to it that none waits 75 s for an answer, however the others fare.
     */
    void pollUnfinishedJobs() {
        long from = cluster.now();
        cluster.every(5000, () -> {
            for (String id : List.copyOf(accepted)) {
                if (isFinished(id)) {
                    continue;
                }
                if (cluster.now() - Math.max(from, answeredAt.get(id)) > 75_000) {
                    cluster.checker.violated("forgotten", id + " got no answer for 75 s");
                }
                SimController controller = anyNode();
                if (controller != null) {
                    controller.poll(id, a -> onReply(id, a));
                }
            }
        });
    }

    List<String> accepted() {
        return accepted;
    }

    boolean isFinished(String id) {
        Condition c = cluster.checker.lastReportedCondition(id);
        return c == Condition.DONE || c == Condition.ABORTED;
    }
}
