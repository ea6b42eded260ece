package dewlane.core.worker;

import dewlane.core.fleet.AssignedAttempt;
import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.JobProgressTable;
import dewlane.core.fleet.Machine;
import dewlane.core.message.ControllerContext;

/**
 * Distinguishes faulty machines from faulty jobs by counting each failed task against its job and its machine. A
 * machine is faulty once tasks of two jobs that are not themselves faulty have failed on it since a task last completed
 * there.
 */
final class FailureAttribution {
    /** Time for which no task of a job is launched after a worker refused one of them. */
    private static final long REFUSED_RETRY_MS = 1000;

    private final ControllerContext context;
    private final JobProgressTable progress;

    FailureAttribution(ControllerContext context, JobProgressTable progress) {
        this.context = context;
        this.progress = progress;
    }

    /** Called when an attempt on the machine has ended, once for each attempt. */
    void onAttemptEnded(Machine machine, AssignedAttempt assigned, Outcome outcome) {
        context.debug(assigned.id() + " on " + machine.name() + ": " + outcome);
        if (outcome == Outcome.DONE) {
            machine.clearFailedJobs();
        } else if (outcome == Outcome.ERROR) {
            recordFailure(machine, assigned);
        } else if (outcome == Outcome.REFUSED) {
            progress.getOrCreate(assigned.job().id()).setRetryAtMs(context.nowMs() + REFUSED_RETRY_MS);
        }
    }

    private void recordFailure(Machine machine, AssignedAttempt assigned) {
        machine.addFailedJob(assigned.job().id());
        JobProgress job = progress.getOrCreate(assigned.job().id());
        job.recordFailure(machine.name(), context.nowMs());
        context.info("task " + assigned.id() + " failed on " + machine.name() + ", launched with token "
                + assigned.attempt().fencingToken() + " (" + job.failureCount()
                + " failures of the job, " + machine.failedJobs().size() + " jobs on the machine)");
    }
}
