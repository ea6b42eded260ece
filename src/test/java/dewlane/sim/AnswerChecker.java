package dewlane.sim;

import dewlane.core.message.Effect.JobCondition;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks what users are told: each job has one final state, jobs are called done or cancelled only when they are, and
 * cancellations pass down to dependants in time.
 */
final class AnswerChecker {
    private final SimCluster cluster;
    private final InvariantChecker checker;
    private final Set<String> cancellationsRequested = new HashSet<>();
    private final Map<String, JobCondition> finalConditions = new HashMap<>();
    /** When a user was first told the final state. */
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

    /** When a user was first told that the job is cancelled, or null if none was. */
    Long cancelledAt(String job) {
        return finalConditions.get(job) == JobCondition.CANCELLED ? finalAt.get(job) : null;
    }

    void onConditionReported(String job, JobCondition condition, long askedAt) {
        lastReported.put(job, finalConditions.getOrDefault(job, condition));
        if (condition == JobCondition.DONE && !hasAllTasksDone(job)) {
            checker.fail("not_done", job + " was called done");
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

    /** An answer to a question asked before the final state was told may overtake it on the way. */
    private void checkFinalConditionStays(String job, JobCondition condition, long askedAt) {
        JobCondition known = finalConditions.get(job);
        if (known == null || condition == known) {
            return;
        }
        boolean askedLater = askedAt > finalAt.get(job) && askedAt != Long.MAX_VALUE;
        if (askedLater || isFinal(condition)) {
            checker.fail("went_back", job + " was called " + known + ", then " + condition);
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
            checker.fail("went_back", job + " was called cancelled, but nobody asked");
        }
        if (checker.hasStarted(job)) {
            checker.fail("cancelled_after_start", job + " had a task, so all that it awaited was done");
        }
    }

    /** Cancellations pass down to all jobs that need the cancelled one, within the time they have. */
    private void checkCancellationsPassedDown(String job, JobCondition condition, long askedAt) {
        if ((condition != JobCondition.PENDING && condition != JobCondition.RUNNING) || askedAt == Long.MAX_VALUE) {
            return;
        }
        for (String dependency : transitiveDependencies(job)) {
            Long cancelledAt = cancelledAt(dependency);
            if (cancelledAt != null && askedAt - cancelledAt > cluster.settings.cancellationDeadlineS() * 1000) {
                checker.fail(
                        "orphaned",
                        job + " is called " + condition + ", " + dependency + " was cancelled at " + cancelledAt);
            }
        }
    }

    private static boolean isFinal(JobCondition condition) {
        return condition == JobCondition.DONE || condition == JobCondition.CANCELLED;
    }

    /** All jobs that the job needs, directly or through others. */
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
