package dewlane.core.scheduling;

import dewlane.core.store.JobEntry;

/**
 * Writes the changes of a job to the store: outcomes of attempts on the machines of this partition, launches,
 * handovers, the end of the job, and a cancellation that was propagated to it.
 *
 * <p>A transaction is built only when it can be sent. While the write rate is low, changes of a job accumulate and are
 * combined into one transaction.
 */
public final class JobWriter {
    private final JobTransactions transactions;
    private final JobFinisher finisher;
    private final OutcomeBatcher outcomes;
    private final OversizedSliceSplitter splitter;
    private final LaunchGate launchGate;
    private final LaunchPlanner planner;

    /** Creates a writer that consists of the given steps. */
    public JobWriter(
            JobTransactions transactions,
            JobFinisher finisher,
            OutcomeBatcher outcomes,
            OversizedSliceSplitter splitter,
            LaunchGate launchGate,
            LaunchPlanner planner) {
        this.transactions = transactions;
        this.finisher = finisher;
        this.outcomes = outcomes;
        this.splitter = splitter;
        this.launchGate = launchGate;
        this.planner = planner;
    }

    /** Stops counting launches whose write was answered but that the replica does not show. */
    void reconcileLaunches() {
        transactions.reconcileLaunches();
    }

    /** Writes the changes of a job, including launches. Does nothing while no transaction for the job may be built. */
    void writeWithLaunches(JobEntry job) {
        write(job, true);
    }

    /**
     * Writes the changes of a job, but launches nothing. Does nothing while no transaction for the job may be built.
     */
    void writeWithoutLaunches(JobEntry job) {
        write(job, false);
    }

    private void write(JobEntry job, boolean mayLaunch) {
        if (!transactions.isReady(job)) {
            return;
        }
        boolean isCancelledByDependency = finisher.isCancelledByDependency(job);
        if (isCancelledByDependency && finisher.isCancellationLeftToOtherController(job)) {
            return;
        }
        JobUpdate update = transactions.begin(job);
        if (isCancelledByDependency) {
            finisher.propagateCancellation(update);
            return;
        }
        outcomes.recordOutcomes(update);
        if (!update.isJobFinished()) {
            writeSlices(update, mayLaunch);
        } else if (!finisher.isLeftToOtherController(update)) {
            writeEnd(update, mayLaunch);
        }
    }

    /**
     * Ends the job. If it cannot be ended yet, for example because its outcomes do not fit into the transaction that
     * ends it, writes outcomes first.
     */
    private void writeEnd(JobUpdate update, boolean mayLaunch) {
        if (finisher.canFinish(update)) {
            finisher.finish(update);
        } else {
            writeSlices(update, mayLaunch);
        }
    }

    private void writeSlices(JobUpdate update, boolean mayLaunch) {
        if (!splitter.splitOversized(update)) {
            if (mayLaunch && launchGate.allowsLaunch(update)) {
                planner.plan(update);
            }
            outcomes.putDue(update);
        }
        if (!update.isEmpty()) {
            transactions.submit(update);
        }
    }
}
