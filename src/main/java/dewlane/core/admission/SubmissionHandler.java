package dewlane.core.admission;

import dewlane.core.admission.JobValidator.Invalid;
import dewlane.core.admission.JobValidator.Undecided;
import dewlane.core.admission.JobValidator.Validation;
import dewlane.core.membership.Membership;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import java.util.List;

/**
 * Takes submissions. A job is accepted if it can run at all and all its dependencies were accepted; the user is
 * answered once that is durable. Requests are idempotent: the submission of a job that was accepted before is answered
 * with the job's state, whatever its body says now.
 */
public final class SubmissionHandler {
    private final Membership membership;
    private final JobStatusHandler statuses;
    private final JobValidator validator;
    private final DependencyLookup dependencies;
    private final NewJobWriter writer;
    private final UserResponses responses;

    /** Accepts jobs by way of the validator, the lookup of their dependencies and the writer. */
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

    /** Checks a submission, writes the job, and answers once that is durable. */
    public void onSubmit(Input.SubmitJob request) {
        if (request.jobId() == null) {
            responses.malformed(request.id(), request.bodyError());
        } else if (statuses.isKnown(request.jobId())) {
            statuses.answer(request.id(), request.jobId(), () -> admit(request));
        } else if (request.job() == null) {
            rejectMalformed(request);
        } else {
            admitIfValid(request);
        }
    }

    /**
     * No accepted job was malformed, but only the store knows of all jobs that have ended. Where it does not answer,
     * the user learns all the same that the body could never be accepted.
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

    /** Admits a job of which nothing is known. */
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
        List<String> named = request.job().dependencies();
        if (named.isEmpty()) {
            writer.writePending(request.job(), admission);
        } else if (!membership.allControllersUpgraded()) {
            responses.upgradeUnfinished(request.id());
        } else if (named.contains(request.jobId())) {
            rejectAsUnrunnable(request, "the job awaits itself");
        } else {
            dependencies.lookUp(named, admission);
        }
    }

    /** One request on its way through the lookup of its dependencies and the write of its job. */
    private final class Admission implements DependencyLookup.Listener, NewJobWriter.Listener {
        private final Input.SubmitJob request;

        Admission(Input.SubmitJob request) {
            this.request = request;
        }

        @Override
        public void found(List<String> pending, boolean cancelled) {
            // A dependency that is done is not stored, so it need not be looked up again after a restart.
            Job job = request.job().withDependencies(pending);
            if (cancelled) {
                writer.writeCancelled(job, this);
            } else {
                writer.writePending(job, this);
            }
        }

        @Override
        public void neverAccepted(String dependency) {
            rejectAsUnrunnable(request, "awaits " + dependency + ", which was never accepted");
        }

        @Override
        public void unreadable(String dependency) {
            responses.retryLater(request.id(), "the state of " + dependency + " cannot be read, try again");
        }

        @Override
        public void tooManyReads() {
            responses.tooManyReads(request.id());
        }

        @Override
        public void accepted(JobCondition condition) {
            responses.accepted(request.id(), request.jobId(), condition);
        }

        /** A job whose record fits no value is malformed for this service: its lists or names are too long. */
        @Override
        public void tooLarge(int maxValueBytes) {
            String reason = "the job, with " + request.job().dependencies().size()
                    + " awaited jobs, does not fit into a stored value of " + maxValueBytes + " bytes";
            statuses.answer(request.id(), request.jobId(), () -> responses.malformed(request.id(), reason));
        }

        @Override
        public void overloaded() {
            responses.tooManySubmissions(request.id());
        }

        /** The job was accepted before, maybe by an earlier copy of this request. */
        @Override
        public void conflict() {
            statuses.answer(request.id(), request.jobId(), () -> responses.retryLater(request.id(), "try again"));
        }

        @Override
        public void unavailable() {
            responses.unavailable(request.id());
        }
    }
}
