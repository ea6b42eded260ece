package dewlane.core.admission;

import dewlane.core.message.Input;
import dewlane.core.store.JobEntry;

/** Handles users' requests to cancel jobs, and answers once the cancellation is durable. Requests are idempotent. */
public final class CancellationHandler {
    private final JobLookup lookup;
    private final CancellationWriter writer;
    private final UserResponses responses;

    /** Creates a handler that cancels the jobs that the lookup finds active. */
    public CancellationHandler(JobLookup lookup, CancellationWriter writer, UserResponses responses) {
        this.lookup = lookup;
        this.writer = writer;
        this.responses = responses;
    }

    /** Cancels the job unless it has ended, and answers with its final state. */
    public void onCancel(Input.CancelJob request) {
        if (lookup.cachedResult(request.job()) != null || lookup.hasRecord(request.job())) {
            // Safe on a stale replica: a result is final, and the write is conditional on the record's revision.
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
                entry -> writer.write(entry, new WriteCompletion(request, entry)));
    }

    /** Answers the user once the write of the cancellation has completed. */
    private final class WriteCompletion implements CancellationWriter.Listener {
        private final Input.CancelJob request;
        private final JobEntry job;

        WriteCompletion(Input.CancelJob request, JobEntry job) {
            this.request = request;
            this.job = job;
        }

        @Override
        public void onCommitted() {
            responses.cancelled(request.id(), job.id());
        }

        @Override
        public void onConflict() {
            // The job is done, or was cancelled by another request or an earlier copy of this one. Look it up again.
            cancelWhenCurrent(request);
        }

        @Override
        public void onUnavailable() {
            responses.unavailable(request.id());
        }
    }
}
