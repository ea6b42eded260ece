package dewlane.sim;

import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Simulated users, who submit, poll and cancel jobs and pass each answer to the checker. */
final class SimUsers {
    private static final int MAX_RETRIES = 12;
    private static final long REPLY_TIMEOUT_MS = 5000;
    private static final long RETRY_AFTER_REFUSAL_MS = 1000;
    private static final long POLL_INTERVAL_MS = 5000;
    private static final long MAX_ANSWER_GAP_MS = 75_000;
    static final String UNKNOWN_JOB = "wk-999999";
    private static final double UNKNOWN_JOB_POLL_RATE = 0.1;
    /** The request time of an answer whose request time is not tracked. */
    private static final long TIME_UNKNOWN = Long.MAX_VALUE;

    private final SimCluster cluster;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final List<String> accepted = new ArrayList<>();
    /** When a request for the job was last answered. */
    private final Map<String, Long> answeredAt = new HashMap<>();
    /** The share of jobs that their users cancel at the moment the last task ends. */
    double cancelOnCompletionRate;

    SimUsers(SimCluster cluster) {
        this.cluster = cluster;
    }

    Job job(String id) {
        return jobs.get(id);
    }

    /** The accepted jobs, in the order in which their users received the acceptance. */
    List<String> accepted() {
        return accepted;
    }

    boolean isFinished(String id) {
        JobCondition condition = cluster.checker.lastReportedCondition(id);
        return condition == JobCondition.DONE || condition == JobCondition.CANCELLED;
    }

    /** Registers a job that the test submits by itself. */
    void register(Job job) {
        jobs.put(job.id(), job);
    }

    /** Submits a job to a random controller, with retries until it is accepted. */
    void submit(Job job) {
        register(job);
        submit(job, 0);
    }

    private void submit(Job job, int retries) {
        SimController controller = randomLiveController();
        boolean[] settled = {false};
        cluster.after(REPLY_TIMEOUT_MS, () -> {
            if (!settled[0] && retries < MAX_RETRIES) {
                submit(job, retries + 1);
            }
        });
        exchange(controller, (to, onReply) -> to.submit(job, onReply), answer -> {
            settled[0] |= answer.status() < 300;
            onAnswer(job.id(), answer);
            if (answer.status() >= 300 && !settled[0] && retries < MAX_RETRIES) {
                settled[0] = true;
                cluster.after(RETRY_AFTER_REFUSAL_MS, () -> submit(job, retries + 1));
            }
        });
    }

    /** Cancels a job through a random controller, with retries until that is confirmed. */
    void cancel(String id) {
        cancel(id, 0);
    }

    private void cancel(String id, int retries) {
        SimController controller = randomLiveController();
        boolean[] confirmed = {false};
        cluster.after(REPLY_TIMEOUT_MS, () -> {
            if (!confirmed[0] && retries < MAX_RETRIES) {
                cancel(id, retries + 1);
            }
        });
        cluster.checker.onCancellationRequested(id);
        exchange(controller, (to, onReply) -> to.cancel(id, onReply), answer -> {
            confirmed[0] = answer.status() == 200;
            onAnswer(id, answer);
        });
    }

    /** Sends a request and its reply, both of which may be lost. Without a live controller nothing is sent. */
    private void exchange(
            SimController controller,
            BiConsumer<SimController, Consumer<Effect.AnswerUser>> request,
            Consumer<Effect.AnswerUser> onReply) {
        if (controller != null) {
            cluster.deliver(() -> request.accept(controller, answer -> {
                if (answer.status() < 300) {
                    cluster.repeats.onCarriedOut(() -> repeat(request));
                }
                cluster.deliver(() -> onReply.accept(answer));
            }));
        }
    }

    /** A copy of a request reaches a random controller; nobody awaits the answer. */
    private void repeat(BiConsumer<SimController, Consumer<Effect.AnswerUser>> request) {
        SimController controller = randomLiveController();
        if (controller != null) {
            request.accept(controller, answer -> {});
        }
    }

    /** Cancels a job through the given controller, without retries. */
    void cancelThrough(SimController controller, String id) {
        cluster.checker.onCancellationRequested(id);
        controller.cancel(id, answer -> onAnswer(id, answer));
    }

    /** Polls the given controller for a job, without retries. */
    void pollThrough(SimController controller, String id) {
        long askedAt = cluster.now();
        boolean acceptedBefore = answeredAt.containsKey(id);
        controller.poll(id, answer -> onPollAnswer(id, answer, askedAt, acceptedBefore));
    }

    /** Repeats a job's submission at the given controller. */
    void resubmitThrough(SimController controller, String id) {
        controller.submit(job(id), answer -> onAnswer(id, answer));
    }

    /** Called when a task is done. If it is the last one of its job, the user may cancel the job. */
    void onTaskDone(String job) {
        if (cancelOnCompletionRate > 0 && cluster.checker.allTasksDone(job) && cluster.chance(cancelOnCompletionRate)) {
            cancel(job);
        }
    }

    /**
     * Cancels up to the given number of jobs that have running tasks, each through a random controller, and returns
     * them.
     */
    List<String> cancelRunning(int count) {
        List<String> chosen = accepted.stream()
                .filter(id -> !isFinished(id) && isOnMachines(id))
                .limit(count)
                .toList();
        chosen.forEach(id -> cluster.after(cluster.randomBetween(0, 200), () -> cancel(id)));
        return chosen;
    }

    private boolean isOnMachines(String id) {
        return cluster.workers().stream().anyMatch(worker -> worker.runningTasks(id) > 0);
    }

    /** Polls a random controller for a random job, and sometimes for a job that was never submitted. */
    void pollRandomJob() {
        List<String> all = List.copyOf(jobs.keySet());
        SimController controller = randomLiveController();
        if (!all.isEmpty() && controller != null) {
            String id = all.get(cluster.random.nextInt(all.size()));
            boolean acceptedBefore = answeredAt.containsKey(id);
            long askedAt = cluster.now();
            exchange(
                    controller,
                    (to, onReply) -> to.poll(id, onReply),
                    answer -> onPollAnswer(id, answer, askedAt, acceptedBefore));
        }
        if (controller != null && cluster.chance(UNKNOWN_JOB_POLL_RATE)) {
            controller.poll(UNKNOWN_JOB, answer -> {
                if (answer.status() == 200) {
                    cluster.checker.fail("unknown_job_reported", UNKNOWN_JOB);
                }
            });
        }
    }

    /**
     * From now on polls every accepted job that has not been reported as finished every 5 s, and fails the run if there
     * is no answer for one of them for 75 s.
     */
    void pollUnfinishedJobs() {
        long from = cluster.now();
        cluster.every(POLL_INTERVAL_MS, () -> {
            for (String id : List.copyOf(accepted)) {
                if (!isFinished(id)) {
                    pollUnfinishedJob(id, from);
                }
            }
        });
    }

    private void pollUnfinishedJob(String id, long from) {
        if (cluster.now() - Math.max(from, answeredAt.get(id)) > MAX_ANSWER_GAP_MS) {
            cluster.checker.fail("no_answer", id + " got no answer for 75 s");
        }
        SimController controller = randomLiveController();
        if (controller != null) {
            controller.poll(id, answer -> onAnswer(id, answer));
        }
    }

    /** Returns a random live controller, or null if there is none. */
    SimController randomLiveController() {
        List<SimController> alive = cluster.controllers.values().stream()
                .filter(controller -> controller.alive)
                .toList();
        return alive.isEmpty() ? null : alive.get(cluster.random.nextInt(alive.size()));
    }

    private void onPollAnswer(String id, Effect.AnswerUser answer, long askedAt, boolean acceptedBefore) {
        if (answer.status() == 404 && acceptedBefore) {
            cluster.checker.fail("accepted_job_unknown", id + " accepted before " + askedAt);
        }
        onAnswer(id, answer, askedAt);
    }

    /** Called when an answer arrives whose request time is not tracked. */
    void onAnswer(String id, Effect.AnswerUser answer) {
        onAnswer(id, answer, TIME_UNKNOWN);
    }

    private void onAnswer(String id, Effect.AnswerUser answer, long askedAt) {
        if (answer.status() == 422 || answer.status() == 400) {
            throw new AssertionError("a valid job was rejected: " + answer);
        }
        if (answer.status() != 200 && answer.status() != 201) {
            return;
        }
        if (!answeredAt.containsKey(id)) {
            accepted.add(id);
        }
        answeredAt.put(id, cluster.now());
        cluster.checker.onConditionReported(id, answer.job().condition(), askedAt);
    }
}
