package dewlane.core.fleet;

import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;

/** An attempt that the store assigns to a machine, where it may be running. */
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

    /** Returns the job of the attempt's task. */
    public JobEntry job() {
        return job;
    }

    /** Returns the slice that holds the attempt. */
    public SliceEntry slice() {
        return slice;
    }

    /** Returns the attempt as it is stored. */
    public Attempt attempt() {
        return attempt;
    }

    /** Returns the attempt's id. */
    public AttemptId id() {
        return id;
    }

    /**
     * Returns the controller against whose share of the team's limit the attempt counts; null without a partition map.
     */
    String quotaOwner() {
        return quotaOwner;
    }

    void setQuotaOwner(String controller) {
        quotaOwner = controller;
    }

    /**
     * Returns true once a heartbeat has proved the attempt's end, so that it no longer uses resources on the machine.
     */
    public boolean hasEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}
