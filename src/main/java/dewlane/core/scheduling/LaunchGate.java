package dewlane.core.scheduling;

import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerContext;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.TransactionQueue;

/** Decides whether launches of a job may be written now, whatever machines there are for them. */
public final class LaunchGate {
    private final ControllerContext context;
    private final TransactionQueue transactions;
    private final CancellationTracker cancellations;
    private final QuotaEnforcer quota;

    /** Judges by the queue, the known cancellations and the teams' quotas. */
    public LaunchGate(
            ControllerContext context,
            TransactionQueue transactions,
            CancellationTracker cancellations,
            QuotaEnforcer quota) {
        this.context = context;
        this.transactions = transactions;
        this.cancellations = cancellations;
        this.quota = quota;
    }

    /**
     * True if the job may run, does not back off after failures, the store takes launches, and the usage of the job's
     * team is known.
     */
    boolean allowsLaunch(JobUpdate update) {
        return !cancellations.mustNotRun(update.job())
                && context.nowMs() >= update.progress().retryAtMs()
                && transactions.hasCapacity(TransactionPriority.LAUNCH)
                && !quota.isLaunchInFlight(update.job().job());
    }
}
