package dewlane.core.admission;

import dewlane.core.message.Input;
import dewlane.core.store.JobEntry;

/** Cancels jobs for their users, and answers once a cancellation is durable. Repeated requests have the same effect. */
public final class CancellationHandler {
    private final JobLookup lookup;
    private final CancellationWriter writer;
    private final UserResponses responses;

    /** Cancels what the lookup finds active. */
    public CancellationHandler(JobLookup lookup, CancellationWriter writer, UserResponses responses) {
        this.lookup = lookup;
        this.writer = writer;
        this.responses = responses;
    }

    /** Cancels a job, unless it has ended already, and answers with its final state. */
    public void onCancel(Input.CancelJob request) {
        if (lookup.knownResult(request.job()) != null || lookup.hasRecord(request.job())) {
            // A result is final, and the write is conditional on the record's revision: the replica may be behind.
            cancelIfActive(request);
        } else {
            cancelWhenCurrent(request);
        }
    }

    private void cancelWhenCurrent(Input.CancelJob request) {
        lookup.whenCurrent(() -> cancelIfActive(request), () -> responses.unavailable(request.id()));
    }

    private void cancelIfActive(Input.CancelJob request) {
        lookup.answerUnlessActive(
                request.id(),
                request.job(),
                () -> responses.notFound(request.id()),
                entry -> writer.write(entry, new WriteAnswer(request, entry)));
    }

    /** Answers a request once its write has ended. */
    private final class WriteAnswer implements CancellationWriter.Listener {
        private final Input.CancelJob request;
        private final JobEntry job;

        WriteAnswer(Input.CancelJob request, JobEntry job) {
            this.request = request;
            this.job = job;
        }

        @Override
        public void committed() {
            responses.cancelled(request.id(), job.id());
        }

        @Override
        public void conflict() {
            // The job is done, or cancelled by another request or an earlier copy of this one: look which.
            cancelWhenCurrent(request);
        }

        @Override
        public void unavailable() {
            responses.unavailable(request.id());
        }
    }
}
