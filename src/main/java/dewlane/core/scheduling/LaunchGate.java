package dewlane.core.scheduling;

import dewlane.core.job.CancellationTracker;
import dewlane.core.message.ControllerContext;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.store.TransactionQueue;

/** Decides whether launches of a job may be written now, regardless of the machines that are available. */
public final class LaunchGate {
    private final ControllerContext context;
    private final TransactionQueue transactions;
    private final CancellationTracker cancellations;
    private final QuotaEnforcer quota;

    /** Creates a gate that checks the transaction queue, the known cancellations and the quotas of teams. */
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
     * Returns true if the job may run, is not in the backoff after a failure, a launch transaction would be sent soon,
     * and the usage of the job's team is known.
     */
    boolean allowsLaunch(JobUpdate update) {
        return !cancellations.mustNotRun(update.job())
                && context.nowMs() >= update.progress().retryAtMs()
                && transactions.hasCapacity(TransactionPriority.LAUNCH)
                && !quota.isLaunchInFlight(update.job().job());
    }
}
