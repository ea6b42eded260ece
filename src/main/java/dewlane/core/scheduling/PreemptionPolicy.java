package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.store.JobEntry;
import java.util.Set;

/**
 * Which jobs may preempt which tasks: a job of higher priority any of a lower one, and a job within its team's
 * guarantee those of other teams that are beyond theirs. A job first waits for a part of the time that its objectives
 * give it, and tasks of jobs halfway to their objective are spared.
 */
final class PreemptionPolicy {
    /** The part of the time it may wait for which a job waits for capacity to become free by itself. */
    private static final double PATIENCE_FRACTION = 0.3;

    private static final double MIN_PATIENCE_S = 1;
    private static final double MAX_PATIENCE_S = 30;
    /** A task is spared once its job has used this part of the time in which it should be finished. */
    private static final double SPARED_FRACTION = 0.5;

    private final ControllerContext context;
    private final QuotaEnforcer quota;
    private Set<String> guaranteed = Set.of();

    PreemptionPolicy(ControllerContext context, QuotaEnforcer quota) {
        this.context = context;
        this.quota = quota;
    }

    /** Begins a cycle with the ids of the jobs within their team's guarantee. */
    void beginCycle(Set<String> guaranteedNow) {
        guaranteed = guaranteedNow;
    }

    /** True if the job is within its team's guarantee. */
    boolean isGuaranteed(JobEntry job) {
        return guaranteed.contains(job.id());
    }

    /** True if the job has waited for long enough to preempt others. */
    boolean hasWaitedEnough(JobEntry job) {
        return ageS(job) >= patienceS(job);
    }

    /** True if the job may preempt the task. */
    boolean mayPreempt(AssignedAttempt attempt, JobEntry job) {
        JobEntry victim = attempt.job();
        Job spec = victim.job();
        double finishedS = context.settings().shortestObjectiveS("finished", spec.jobClass());
        if (victim.isCancelled() || ageS(victim) > SPARED_FRACTION * finishedS) {
            return false;
        }
        if (victim.priority().compareTo(job.priority()) < 0) {
            return true;
        }
        return isGuaranteed(job)
                && !isGuaranteed(victim)
                && !spec.team().equals(job.job().team())
                && quota.exceedsGuarantee(spec);
    }

    /** Seconds for which the job has been pending or running; not those in which it waited for its dependencies. */
    private double ageS(JobEntry job) {
        return (context.wallClockMs() - job.waitingSinceMs()) / 1000.0;
    }

    /** How long the job waits before it preempts others, by its service-level objectives and its deadline. */
    private double patienceS(JobEntry job) {
        Job spec = job.job();
        Settings settings = context.settings();
        double allowedS = Math.min(
                settings.shortestObjectiveS("wait", spec.jobClass()),
                settings.shortestObjectiveS("finished", spec.jobClass()));
        if (isGuaranteed(job)) {
            allowedS = Math.min(allowedS, settings.shortestObjectiveS("guarantee", spec.jobClass()));
        }
        if (job.deadlineMs() != JobEntry.NO_DEADLINE) {
            double untilDeadlineS = (job.deadlineMs() - job.waitingSinceMs()) / 1000.0;
            allowedS = Math.min(allowedS, untilDeadlineS - spec.expectedRunS());
        }
        return Math.min(MAX_PATIENCE_S, Math.max(MIN_PATIENCE_S, PATIENCE_FRACTION * allowedS));
    }
}
