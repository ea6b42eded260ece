package dewlane.core.controller;

import dewlane.core.admission.CancellationHandler;
import dewlane.core.admission.JobStatusHandler;
import dewlane.core.admission.SubmissionHandler;
import dewlane.core.message.HandlerTable;
import dewlane.core.message.Input;

/** Requests of users. What they change comes back from the store, so none of them asks for a scheduling cycle. */
final class UserInputHandlers {
    private final SubmissionHandler submissions;
    private final JobStatusHandler statuses;
    private final CancellationHandler cancellations;

    UserInputHandlers(SubmissionHandler submissions, JobStatusHandler statuses, CancellationHandler cancellations) {
        this.submissions = submissions;
        this.statuses = statuses;
        this.cancellations = cancellations;
    }

    void register(HandlerTable<Input> handlers) {
        handlers.on(Input.SubmitJob.class, submissions::onSubmit);
        handlers.on(Input.GetJobStatus.class, statuses::onGetStatus);
        handlers.on(Input.CancelJob.class, cancellations::onCancel);
    }
}
