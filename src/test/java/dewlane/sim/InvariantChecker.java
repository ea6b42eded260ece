package dewlane.sim;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks the protocol's invariants against what the simulated cluster knows to be true, and fails the run at the first
 * one that is broken. What users are told is with {@link AnswerChecker}, places and quotas with
 * {@link PlacementChecker}, and jobs that wait for too long with {@link StarvationChecker}.
 */
final class InvariantChecker {
    /** A broken invariant. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1;

        Violation(String text) {
            super(text);
        }
    }

    /** A launch sent longer after a confirmation than a controller's view may lag is one it should not have sent. */
    private static final long MAX_REPLICA_LAG_MS = 3000;

    private final SimCluster cluster;
    private final AnswerChecker answers;
    private final PlacementChecker placement;
    private final Map<String, Set<Integer>> doneTasks = new HashMap<>();
    private final Set<String> startedJobs = new HashSet<>();
    /** Attempts that began to run so far. */
    int taskStarts;

    InvariantChecker(SimCluster cluster) {
        this.cluster = cluster;
        this.answers = new AnswerChecker(cluster, this);
        this.placement = new PlacementChecker(cluster, this);
    }

    /** Fails the run; {@code what} begins with the job or machine that it is about. */
    void fail(String invariant, String what) {
        String subject = what.split("[ /]")[0];
        throw new Violation("seed " + cluster.seed + " at " + cluster.now() + " ms: " + invariant + ": " + what + "\n"
                + cluster.recentTrace(subject));
    }

    void onTaskDone(String job, int task) {
        doneTasks.computeIfAbsent(job, id -> new HashSet<>()).add(task);
    }

    boolean isTaskDone(String job, int task) {
        return doneTasks.getOrDefault(job, Set.of()).contains(task);
    }

    int countDoneTasks(String job) {
        return doneTasks.getOrDefault(job, Set.of()).size();
    }

    boolean allTasksDone(String job) {
        return countDoneTasks(job) == cluster.users.job(job).tasks();
    }

    boolean hasStarted(String job) {
        return startedJobs.contains(job);
    }

    void onTaskStarted(SimWorker worker, SimAttempt attempt) {
        taskStarts++;
        checkNotCancelled(worker, attempt);
        startedJobs.add(attempt.job);
        Job job = cluster.users.job(attempt.job);
        String task = attempt.job + "/" + attempt.task;
        for (String dependency : job.dependencies()) {
            if (!allTasksDone(dependency)) {
                fail("too_early", task + " started before " + dependency + " was done");
            }
        }
        placement.checkPlacement(worker, attempt);
        placement.checkQuota(attempt);
    }

    /** A launch may still arrive after the cancellation of its job if it was on its way by then. */
    private void checkNotCancelled(SimWorker worker, SimAttempt attempt) {
        Long cancelledAt = answers.cancelledAt(attempt.job);
        if (cancelledAt != null && attempt.launchSentAt - cancelledAt > MAX_REPLICA_LAG_MS) {
            fail(
                    "started_cancelled",
                    attempt.job + "/" + attempt.task + " on " + worker.name + ", launched "
                            + (attempt.launchSentAt - cancelledAt)
                            + " ms after its cancellation was confirmed");
        }
    }

    /** Checked after every event: no task runs for longer after its job's cancellation than a cancellation may take. */
    void checkCancelledTasks() {
        if (!answers.anyCancelled()) {
            return;
        }
        for (SimWorker worker : cluster.workers()) {
            for (SimAttempt attempt : worker.attempts()) {
                if (attempt.occupiesMachine() && hasRunTooLong(attempt)) {
                    fail(
                            "ran_cancelled",
                            attempt.job + "/" + attempt.task + " on " + worker.name + "\n"
                                    + cluster.recentTrace(worker.name)
                                    + cluster.recentTrace(FaultInjector.TRACE_PREFIX));
                }
            }
        }
    }

    private boolean hasRunTooLong(SimAttempt attempt) {
        Long cancelledAt = answers.cancelledAt(attempt.job);
        return cancelledAt != null && cluster.now() - cancelledAt > cluster.settings.cancellationDeadlineS() * 1000;
    }

    void onCancellationRequested(String job) {
        answers.onCancellationRequested(job);
    }

    /** A user was told the job's condition; the time at which they asked is {@link Long#MAX_VALUE} if unknown. */
    void onConditionReported(String job, JobCondition condition, long askedAt) {
        answers.onConditionReported(job, condition, askedAt);
    }

    JobCondition lastReportedCondition(String job) {
        return answers.lastReportedCondition(job);
    }

    /** From now on, with all faults over, no job may wait for long beside a machine that has room for it. */
    void watchForStarvation() {
        new StarvationChecker(cluster, this).start();
    }
}
