package dewlane.core.fleet;

import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;

/** An attempt that the store holds against a machine: it may be running there. */
public final class AssignedAttempt {
    private final JobEntry job;
    private final SliceEntry slice;
    private final Attempt attempt;
    private final AttemptId id;
    private String quotaOwner;
    private boolean ended;

    AssignedAttempt(JobEntry job, SliceEntry slice, Attempt attempt) {
        this.job = job;
        this.slice = slice;
        this.attempt = attempt;
        this.id = attempt.idIn(job.id());
    }

    /** The job of the attempt's task. */
    public JobEntry job() {
        return job;
    }

    /** The slice that holds the attempt. */
    public SliceEntry slice() {
        return slice;
    }

    /** The attempt as it is stored. */
    public Attempt attempt() {
        return attempt;
    }

    /** Identifies the attempt. */
    public AttemptId id() {
        return id;
    }

    /** The controller against whose share of the team's limit the attempt counts; null without a partition map. */
    String quotaOwner() {
        return quotaOwner;
    }

    void setQuotaOwner(String controller) {
        quotaOwner = controller;
    }

    /** True once a heartbeat proved its end, so that it needs no room on the machine any more. */
    public boolean hasEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}
