package dewlane.core.admission;

import dewlane.core.admission.JobValidator.Invalid;
import dewlane.core.admission.JobValidator.Undecided;
import dewlane.core.admission.JobValidator.Validation;
import dewlane.core.membership.Membership;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.model.JobIds;
import java.util.List;

/**
 * Handles submissions. A job is accepted if it can ever run and all its dependencies were accepted. The user is
 * answered once the job is durable. Requests are idempotent: the submission of a job that was accepted before is
 * answered with the job's state, even if the body of the request differs.
 */
public final class SubmissionHandler {
    private final Membership membership;
    private final JobStatusHandler statuses;
    private final JobValidator validator;
    private final DependencyLookup dependencies;
    private final NewJobWriter writer;
    private final UserResponses responses;

    /** Creates a handler that checks jobs with the validator and the dependency lookup, and writes them. */
    public SubmissionHandler(
            Membership membership,
            JobStatusHandler statuses,
            JobValidator validator,
            DependencyLookup dependencies,
            NewJobWriter writer,
            UserResponses responses) {
        this.membership = membership;
        this.statuses = statuses;
        this.validator = validator;
        this.dependencies = dependencies;
        this.writer = writer;
        this.responses = responses;
    }

    /** Validates a submission, writes the job, and answers once it is durable. */
    public void onSubmit(Input.SubmitJob request) {
        if (request.jobId() == null) {
            responses.malformed(request.id(), request.bodyError());
        } else if (statuses.isInReplica(request.jobId())) {
            statuses.answer(request.id(), request.jobId(), () -> admit(request));
        } else if (request.job() == null) {
            rejectMalformed(request);
        } else {
            admitIfValid(request);
        }
    }

    /**
     * Rejects a malformed body, unless the job was accepted earlier with a valid one. To find that out, the store may
     * have to be read, since the replica does not hold all jobs that have ended. If the store does not answer, the
     * request is rejected nevertheless, because such a body can never be accepted.
     */
    private void rejectMalformed(Input.SubmitJob request) {
        statuses.answer(
                request.id(),
                request.jobId(),
                () -> admit(request),
                () -> responses.malformed(request.id(), request.bodyError()));
    }

    private void admitIfValid(Input.SubmitJob request) {
        Validation validation = validator.validate(request.job());
        if (validation instanceof Invalid invalid) {
            rejectAsUnrunnable(request, invalid.reason());
        } else if (validation instanceof Undecided) {
            responses.notReady(request.id());
        } else {
            admit(request);
        }
    }

    /** Rejects a job that can never run, unless it was accepted earlier. */
    private void rejectAsUnrunnable(Input.SubmitJob request, String reason) {
        statuses.answer(request.id(), request.jobId(), () -> responses.cannotRun(request.id(), reason));
    }

    /** Accepts a job for which neither the replica nor the store has a record or a result. */
    private void admit(Input.SubmitJob request) {
        if (request.job() == null) {
            responses.malformed(request.id(), request.bodyError());
            return;
        }
        if (!membership.isMember()) {
            responses.notReady(request.id());
            return;
        }
        Admission admission = new Admission(request);
        JobIds declared = request.job().dependencies();
        if (declared.isEmpty()) {
            writer.writePending(request.job(), admission);
        } else if (!membership.allControllersUpgraded()) {
            responses.upgradeUnfinished(request.id());
        } else if (declared.contains(request.jobId())) {
            rejectAsUnrunnable(request, "the job awaits itself");
        } else {
            dependencies.lookUp(declared, admission);
        }
    }

    /** A request whose dependencies are being looked up or whose job is being written. */
    private final class Admission implements DependencyLookup.Listener, NewJobWriter.Listener {
        private final Input.SubmitJob request;

        Admission(Input.SubmitJob request) {
            this.request = request;
        }

        @Override
        public void onFound(List<String> pending, boolean cancelled) {
            // Dependencies that are done are left out of the record, so they need no lookup after a restart.
            Job job = request.job().withDependencies(pending);
            if (cancelled) {
                writer.writeCancelled(job, this);
            } else {
                writer.writePending(job, this);
            }
        }

        @Override
        public void onNeverAccepted(String dependency) {
            rejectAsUnrunnable(request, "awaits " + dependency + ", which was never accepted");
        }

        @Override
        public void onUnreadable(String dependency) {
            responses.retryLater(request.id(), "the state of " + dependency + " cannot be read, try again");
        }

        @Override
        public void onReadRateExceeded() {
            responses.tooManyReads(request.id());
        }

        @Override
        public void onAccepted(JobCondition condition) {
            responses.accepted(request.id(), request.jobId(), condition);
        }

        /** Rejects the job as malformed: its lists or names are too long for the store's value limit. */
        @Override
        public void onTooLarge(int maxValueBytes) {
            String reason = "the job, with " + request.job().dependencies().size()
                    + " awaited jobs, does not fit into a stored value of " + maxValueBytes + " bytes";
            statuses.answer(request.id(), request.jobId(), () -> responses.malformed(request.id(), reason));
        }

        @Override
        public void onWriteRateExceeded() {
            responses.tooManySubmissions(request.id());
        }

        /** Refuses the job, unless it was accepted earlier and has ended since. */
        @Override
        public void onMemoryExceeded() {
            statuses.answer(request.id(), request.jobId(), () -> responses.tooManyStoredJobs(request.id()));
        }

        /** Answers with the state of the job, which was accepted before, maybe by an earlier copy of this request. */
        @Override
        public void onConflict() {
            statuses.answer(request.id(), request.jobId(), () -> responses.retryLater(request.id(), "try again"));
        }

        @Override
        public void onUnavailable() {
            responses.unavailable(request.id());
        }
    }
}
