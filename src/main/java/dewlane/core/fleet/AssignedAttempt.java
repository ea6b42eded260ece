package dewlane.core.fleet;

import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;

/** An attempt that the store holds against a machine. */
public final class AssignedAttempt {
    public final JobEntry job;
    public final SliceEntry slice;
    public final Attempt attempt;
    public final AttemptId id;
    /** The controller against whose share of the team's limit it counts. */
    String quotaOwner;
    /** The machine reported its end, so it needs no room there any more. */
    public boolean ended;

    AssignedAttempt(JobEntry job, SliceEntry slice, Attempt attempt) {
        this.job = job;
        this.slice = slice;
        this.attempt = attempt;
        this.id = new AttemptId(job.id, attempt.task(), attempt.number());
    }
}
