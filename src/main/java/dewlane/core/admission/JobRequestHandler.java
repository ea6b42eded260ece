package dewlane.core.admission;

import dewlane.core.job.CancellationTracker;
import dewlane.core.job.DependencyTracker;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.message.Input;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;

/**
 * Answers polls and cancellations. What is not known to be final is told only behind a {@link ReadBarrier}, so that no
 * controller shows a state older than one that another has shown.
 */
public final class JobRequestHandler {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final TransactionQueue transactions;
    private final CancellationTracker cancellations;
    private final DependencyTracker dependencies;
    private final ReadBarrier barrier;
    private final JobResultReader finals;
    private final UserResponses replies;
    private final ValueSizer size;

    public JobRequestHandler(
            ControllerContext context,
            StoreReplica replica,
            TransactionQueue transactions,
            CancellationTracker cancellations,
            DependencyTracker dependencies,
            ReadBarrier barrier,
            JobResultReader finals,
            ValueSizer size) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
        this.cancellations = cancellations;
        this.dependencies = dependencies;
        this.barrier = barrier;
        this.finals = finals;
        this.replies = new UserResponses(context);
        this.size = size;
    }

    /** Answers a question about a job. */
    public void onGetStatus(Input.GetJobStatus request) {
        lookUp(request.id(), request.job(), () -> replies.rejected(request.id(), 404, "no such job"));
    }

    /** Cancels a job, and answers once that is durable. */
    public void onCancel(Input.CancelJob request) {
        JobResult fin = replica.result(request.job());
        if (fin != null) {
            replies.finalState(request.id(), request.job(), fin);
            return;
        }
        if (replica.activeJob(request.job()) != null) {
            // The write is conditional on what the replica shows, so it may be behind.
            abortKnown(request);
        } else {
            barrier.await(() -> abortKnown(request), () -> replies.unavailable(request.id()));
        }
    }

    private void abortKnown(Input.CancelJob request) {
        JobResult fin = replica.result(request.job());
        JobEntry entry = replica.activeJob(request.job());
        if (fin != null) {
            replies.finalState(request.id(), request.job(), fin);
        } else if (replica.isUnreadable(request.job())) {
            replies.retryLater(request.id(), "the job's state cannot be read, try again");
        } else if (entry == null) {
            lookUpFinal(request.id(), request.job(), () -> replies.rejected(request.id(), 404, "no such job"));
        } else if (dependencies.isCancelled(entry)) {
            replies.cancelled(request.id(), request.job());
        } else {
            cancel(request, entry.record(), entry.revision());
        }
    }

    private void cancel(Input.CancelJob request, JobRecord record, long version) {
        String job = record.job().id();
        JobResult fin = new JobResult(true, context.wallClockMs());
        JobRecord marked = record.asCancelled(
                context.wallClockMs(), size, context.settings().maxValueBytes());
        Transaction transaction = new Transaction.Builder()
                .require(StoreKeys.job(job), version)
                .put(StoreKeys.job(job), marked)
                .put(StoreKeys.jobResult(job), fin)
                .build();
        transactions.submit(TransactionPriority.SAFETY, transaction, (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                context.info("job " + job + " cancelled");
                cancellations.onConfirmed(job);
                replica.recordResult(job, fin);
                replies.cancelled(request.id(), job);
            } else if (status == Transaction.Status.CONFLICT) {
                // Done, or cancelled by another request or an earlier copy of this one: see which.
                barrier.await(() -> abortKnown(request), () -> replies.unavailable(request.id()));
            } else {
                replies.unavailable(request.id());
            }
        });
    }

    /** As below, for those who come back if the state service says nothing. */
    void lookUp(long id, String job, Runnable unknown) {
        lookUp(id, job, unknown, () -> replies.unavailable(id));
    }

    /**
     * Answers with the job's state, or runs {@code unknown} if it was never accepted, or {@code silent} if the state
     * service says nothing.
     */
    void lookUp(long id, String job, Runnable unknown, Runnable silent) {
        JobResult fin = replica.result(job);
        if (fin != null) {
            replies.finalState(id, job, fin);
            return;
        }
        barrier.await(() -> answerKnown(id, job, unknown), silent);
    }

    private void answerKnown(long id, String job, Runnable unknown) {
        JobResult fin = replica.result(job);
        JobEntry entry = replica.activeJob(job);
        if (fin != null) {
            replies.finalState(id, job, fin);
        } else if (replica.isUnreadable(job)) {
            replies.retryLater(id, "the job's state cannot be read, try again");
        } else if (entry == null) {
            // A job's record is gone only once its final state is there.
            lookUpFinal(id, job, unknown);
        } else if (dependencies.isCancelled(entry)) {
            replies.cancelled(id, job);
        } else if (!dependencies.isResolved(job)) {
            // One that it needs may have been cancelled long ago.
            replies.retryLater(id, "looking up what the job awaits, try again");
        } else {
            replies.state(id, active(entry));
        }
    }

    private static JobStatus active(JobEntry job) {
        int live = job.liveAttemptCount();
        return new JobStatus(job.id(), live > 0 ? JobCondition.RUNNING : JobCondition.PENDING, job.doneCount(), live);
    }

    private void lookUpFinal(long id, String job, Runnable unknown) {
        boolean asked = finals.read(job, new JobResultReader.Listener() {
            @Override
            public void found(JobResult result) {
                replies.finalState(id, job, result);
            }

            @Override
            public void absent() {
                unknown.run();
            }

            @Override
            public void unavailable() {
                replies.unavailable(id);
            }
        });
        if (!asked) {
            replies.retryLater(id, "too many questions, try again");
        }
    }
}
