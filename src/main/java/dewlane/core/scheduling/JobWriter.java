package dewlane.core.scheduling;

import dewlane.core.store.JobEntry;

/**
 * Makes durable what there is to write about a job: outcomes of attempts on the machines of this partition, launches,
 * handovers, its end, and a cancellation that was propagated to it.
 *
 * <p>A write is built when it can be sent: while writes are scarce, changes of a job gather, and one write holds more.
 */
public final class JobWriter {
    private final JobTransactions transactions;
    private final JobFinisher finisher;
    private final OutcomeBatcher outcomes;
    private final OversizedSliceSplitter splitter;
    private final LaunchGate launchGate;
    private final LaunchPlanner planner;

    /** Writes by the given steps. */
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

    /** Takes back what was counted for launches whose write was refused. */
    void reconcileLaunches() {
        transactions.reconcileLaunches();
    }

    /** Writes what there is to write about a job, launches included; nothing while a write about it is in flight. */
    void writeWithLaunches(JobEntry job) {
        write(job, true);
    }

    /** Writes what there is to write about a job, but launches nothing. */
    void writeWithoutLaunches(JobEntry job) {
        write(job, false);
    }

    private void write(JobEntry job, boolean mayLaunch) {
        if (!transactions.isReady(job)) {
            return;
        }
        JobUpdate update = transactions.begin(job);
        if (finisher.isCancelledByDependency(job)) {
            finisher.propagateCancellation(update);
            return;
        }
        outcomes.recordOutcomes(update);
        if (!update.isJobOver()) {
            writeSlices(update, mayLaunch);
        } else if (!finisher.isLeftToOthers(update)) {
            writeEnd(update, mayLaunch);
        }
    }

    /** Ends the job, or first writes outcomes that do not fit into the transaction that ends it. */
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
