package dewlane.sim;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks the protocol's invariants against the true state of the simulated cluster, and fails the run at the first
 * violation. {@link AnswerChecker} checks the answers to users, {@link PlacementChecker} placements and quotas, and
 * {@link StarvationChecker} jobs that wait too long.
 */
final class InvariantChecker {
    /** A violation of an invariant, which fails the run. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1;

        Violation(String text) {
            super(text);
        }
    }

    /**
     * How far a controller's replica of the store may lag. A launch sent later than this after the confirmation of its
     * job's cancellation is a violation.
     */
    private static final long MAX_REPLICA_LAG_MS = 3000;

    private final SimCluster cluster;
    private final AnswerChecker answers;
    private final PlacementChecker placement;
    private final Map<String, Set<Integer>> doneTasks = new HashMap<>();
    private final Set<String> startedJobs = new HashSet<>();
    /** Attempts that have started to run so far. */
    int taskStarts;

    InvariantChecker(SimCluster cluster) {
        this.cluster = cluster;
        this.answers = new AnswerChecker(cluster, this);
        this.placement = new PlacementChecker(cluster, this);
    }

    /**
     * Fails the run. {@code what} must begin with the id of the job or machine in question, whose trace is printed with
     * it.
     */
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
                fail("started_before_dependency", task + " started before " + dependency + " was done");
            }
        }
        placement.checkPlacement(worker, attempt);
        placement.checkQuota(attempt);
    }

    /** A launch that was in flight when its job was cancelled may still arrive. */
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

    /** Checks that no task runs past the cancellation deadline of its job. Called after every event. */
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

    /**
     * Called when a user is told the job's condition. {@code askedAt} is when the user sent the request, or
     * {@link Long#MAX_VALUE} if unknown.
     */
    void onConditionReported(String job, JobCondition condition, long askedAt) {
        answers.onConditionReported(job, condition, askedAt);
    }

    JobCondition lastReportedCondition(String job) {
        return answers.lastReportedCondition(job);
    }

    /** Starts to check that no job waits too long while a machine has room for it. Called once all faults are over. */
    void watchForStarvation() {
        new StarvationChecker(cluster, this).start();
    }
}
