package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.store.JobEntry;
import java.util.Set;

/**
 * Decides which jobs may preempt which tasks. A job may preempt tasks of jobs with lower priority. A job within its
 * team's guarantee may also preempt tasks of other teams that exceed their guarantee. A job must first wait for a
 * fraction of the time that its objectives allow. Tasks of jobs that have used half of the time in which they should
 * finish are not preempted.
 */
final class PreemptionPolicy {
    /** Fraction of its allowed waiting time for which a job waits for capacity to become free without preemption. */
    private static final double PREEMPTION_DELAY_FRACTION = 0.3;

    private static final double MIN_PREEMPTION_DELAY_S = 1;
    private static final double MAX_PREEMPTION_DELAY_S = 30;
    /** Tasks are not preempted once their job has used this fraction of the time in which it should finish. */
    private static final double PROTECTED_FRACTION = 0.5;

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

    /** Returns true if the job is within its team's guarantee. */
    boolean isGuaranteed(JobEntry job) {
        return guaranteed.contains(job.id());
    }

    /** Returns true if the job has waited long enough to preempt tasks. */
    boolean hasWaitedEnough(JobEntry job) {
        return ageS(job) >= preemptionDelayS(job);
    }

    /** Returns true if the job may preempt the task. */
    boolean mayPreempt(AssignedAttempt attempt, JobEntry job) {
        JobEntry victim = attempt.job();
        Job spec = victim.job();
        double finishedS = context.settings().shortestObjectiveS("finished", spec.jobClass());
        if (victim.isCancelled() || ageS(victim) > PROTECTED_FRACTION * finishedS) {
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

    /** Returns the seconds for which the job has been pending or running, without the wait for its dependencies. */
    private double ageS(JobEntry job) {
        return (context.wallClockMs() - job.waitingSinceMs()) / 1000.0;
    }

    /** Returns how long the job waits before it preempts tasks, by its service-level objectives and its deadline. */
    private double preemptionDelayS(JobEntry job) {
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
        return Math.min(MAX_PREEMPTION_DELAY_S, Math.max(MIN_PREEMPTION_DELAY_S, PREEMPTION_DELAY_FRACTION * allowedS));
    }
}
