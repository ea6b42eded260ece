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

    public void poll(Input.GetJobStatus in) {
        lookUp(in.id(), in.job(), () -> replies.refused(in.id(), 404, "no such job"));
    }

    public void abort(Input.CancelJob in) {
        JobResult fin = replica.fin(in.job());
        if (fin != null) {
            replies.finalState(in.id(), in.job(), fin);
            return;
        }
        if (replica.recorded(in.job()) != null) {
            // The write is conditional on what the replica shows, so it may be behind.
            abortKnown(in);
        } else {
            barrier.await(() -> abortKnown(in), () -> replies.unavailable(in.id()));
        }
    }

    private void abortKnown(Input.CancelJob in) {
        JobResult fin = replica.fin(in.job());
        JobEntry entry = replica.recorded(in.job());
        if (fin != null) {
            replies.finalState(in.id(), in.job(), fin);
        } else if (replica.isHeld(in.job())) {
            replies.later(in.id(), "the job's state cannot be read, try again");
        } else if (entry == null) {
            lookUpFinal(in.id(), in.job(), () -> replies.refused(in.id(), 404, "no such job"));
        } else if (dependencies.cancelled(entry)) {
            replies.aborted(in.id(), in.job());
        } else {
            cancel(in, entry.record(), entry.version());
        }
    }

    private void cancel(Input.CancelJob in, JobRecord record, long version) {
        String job = record.job().id();
        JobResult fin = new JobResult(true, context.wall());
        JobRecord marked =
                record.cancelled(context.wall(), size, context.settings().valueBytes());
        Transaction txn = new Transaction.Builder()
                .when(StoreKeys.job(job), version)
                .set(StoreKeys.job(job), marked)
                .set(StoreKeys.fin(job), fin)
                .build();
        transactions.submit(TransactionQueue.Urgency.SAFETY, txn, (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                context.info("job " + job + " cancelled");
                cancellations.confirmed(job);
                replica.rememberFinal(job, fin);
                replies.aborted(in.id(), job);
            } else if (status == Transaction.Status.CONFLICT) {
                // Done, or cancelled by another request or an earlier copy of this one: see which.
                barrier.await(() -> abortKnown(in), () -> replies.unavailable(in.id()));
            } else {
                replies.unavailable(in.id());
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
        JobResult fin = replica.fin(job);
        if (fin != null) {
            replies.finalState(id, job, fin);
            return;
        }
        barrier.await(() -> answerKnown(id, job, unknown), silent);
    }

    private void answerKnown(long id, String job, Runnable unknown) {
        JobResult fin = replica.fin(job);
        JobEntry entry = replica.recorded(job);
        if (fin != null) {
            replies.finalState(id, job, fin);
        } else if (replica.isHeld(job)) {
            replies.later(id, "the job's state cannot be read, try again");
        } else if (entry == null) {
            // A job's record is gone only once its final state is there.
            lookUpFinal(id, job, unknown);
        } else if (dependencies.cancelled(entry)) {
            replies.aborted(id, job);
        } else if (!dependencies.resolved(job)) {
            // One that it needs may have been cancelled long ago.
            replies.later(id, "looking up what the job awaits, try again");
        } else {
            replies.state(id, active(entry));
        }
    }

    private static JobStatus active(JobEntry job) {
        int live = job.live();
        return new JobStatus(job.id, live > 0 ? JobCondition.RUNNING : JobCondition.PENDING, job.done(), live);
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
            public void noAnswer() {
                replies.unavailable(id);
            }
        });
        if (!asked) {
            replies.later(id, "too many questions, try again");
        }
    }
}
