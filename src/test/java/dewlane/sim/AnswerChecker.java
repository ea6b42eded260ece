package dewlane.sim;

import dewlane.core.message.Effect.JobCondition;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks the answers that users get: a job's final state never changes, a job is reported as done or cancelled only
 * when it is, and cancellations propagate to dependants in time.
 */
final class AnswerChecker {
    private final SimCluster cluster;
    private final InvariantChecker checker;
    private final Set<String> cancellationsRequested = new HashSet<>();
    private final Map<String, JobCondition> finalConditions = new HashMap<>();
    /** When a user was first told the job's final state. */
    private final Map<String, Long> finalAt = new HashMap<>();

    private final Map<String, JobCondition> lastReported = new HashMap<>();

    AnswerChecker(SimCluster cluster, InvariantChecker checker) {
        this.cluster = cluster;
        this.checker = checker;
    }

    void onCancellationRequested(String job) {
        cancellationsRequested.add(job);
    }

    JobCondition lastReportedCondition(String job) {
        return lastReported.get(job);
    }

    boolean anyCancelled() {
        return finalConditions.containsValue(JobCondition.CANCELLED);
    }

    /** Returns when a user was first told that the job is cancelled, or null if that has not happened. */
    Long cancelledAt(String job) {
        return finalConditions.get(job) == JobCondition.CANCELLED ? finalAt.get(job) : null;
    }

    void onConditionReported(String job, JobCondition condition, long askedAt) {
        lastReported.put(job, finalConditions.getOrDefault(job, condition));
        if (condition == JobCondition.DONE && !hasAllTasksDone(job)) {
            checker.fail("not_done", job + " was reported as done before all its tasks were");
        }
        checkCancellationHasReason(job, condition);
        checkCancellationsPassedDown(job, condition, askedAt);
        checkFinalConditionStays(job, condition, askedAt);
        if (isFinal(condition) && !finalConditions.containsKey(job)) {
            finalConditions.put(job, condition);
            finalAt.put(job, cluster.now());
            lastReported.put(job, condition);
        }
    }

    private boolean hasAllTasksDone(String job) {
        return checker.countDoneTasks(job) >= cluster.users.job(job).tasks();
    }

    /**
     * Checks that a reported final state does not change. An answer to a request sent before the final state was
     * reported may still arrive afterwards, with an earlier state.
     */
    private void checkFinalConditionStays(String job, JobCondition condition, long askedAt) {
        JobCondition known = finalConditions.get(job);
        if (known == null || condition == known) {
            return;
        }
        boolean askedLater = askedAt > finalAt.get(job) && askedAt != Long.MAX_VALUE;
        if (askedLater || isFinal(condition)) {
            checker.fail("final_state_changed", job + " was reported as " + known + ", then " + condition);
        }
    }

    private void checkCancellationHasReason(String job, JobCondition condition) {
        if (condition != JobCondition.CANCELLED || cancellationsRequested.contains(job)) {
            return;
        }
        boolean dependencyCancelled = transitiveDependencies(job).stream()
                .anyMatch(dependency -> cancellationsRequested.contains(dependency)
                        && finalConditions.get(dependency) != JobCondition.DONE);
        if (!dependencyCancelled) {
            checker.fail(
                    "cancelled_without_request",
                    job + " was reported as cancelled, but no user cancelled it or a dependency");
        }
        if (checker.hasStarted(job)) {
            checker.fail("cancelled_after_start", job + " had started a task, so all its dependencies were done");
        }
    }

    /**
     * Checks that the cancellation of a dependency, direct or indirect, reaches the job before the cancellation
     * deadline.
     */
    private void checkCancellationsPassedDown(String job, JobCondition condition, long askedAt) {
        if ((condition != JobCondition.PENDING && condition != JobCondition.RUNNING) || askedAt == Long.MAX_VALUE) {
            return;
        }
        for (String dependency : transitiveDependencies(job)) {
            Long cancelledAt = cancelledAt(dependency);
            if (cancelledAt != null && askedAt - cancelledAt > cluster.settings.cancellationDeadlineS() * 1000) {
                checker.fail(
                        "dependant_not_cancelled",
                        job + " is reported as " + condition + ", " + dependency + " was cancelled at " + cancelledAt);
            }
        }
    }

    private static boolean isFinal(JobCondition condition) {
        return condition == JobCondition.DONE || condition == JobCondition.CANCELLED;
    }

    /** Returns all jobs that the job depends on, directly or through others. */
    private Set<String> transitiveDependencies(String job) {
        Set<String> found = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(cluster.users.job(job).dependencies());
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (found.add(id)) {
                queue.addAll(cluster.users.job(id).dependencies());
            }
        }
        return found;
    }
}
