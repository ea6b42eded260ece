package dewlane.core.admission;

import dewlane.core.job.Cancellations;
import dewlane.core.job.Dependencies;
import dewlane.core.message.Context;
import dewlane.core.message.Effect.Condition;
import dewlane.core.message.Effect.JobState;
import dewlane.core.message.Input;
import dewlane.core.schema.Keys;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.Value.FinalRecord;
import dewlane.core.schema.Value.JobRecord;
import dewlane.core.schema.ValueSize;
import dewlane.core.store.FinalReader;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.Replica;
import dewlane.core.store.TransactionQueue;

/**
 * Answers polls and cancellations. What is not known to be final is told only behind a {@link ReadBarrier}, so that no
 * controller shows a state older than one that another has shown.
 */
public final class Users {
    private final Context context;
    private final Replica replica;
    private final TransactionQueue transactions;
    private final Cancellations cancellations;
    private final Dependencies dependencies;
    private final ReadBarrier barrier;
    private final FinalReader finals;
    private final UserReplies replies;
    private final ValueSize size;

    public Users(
            Context context,
            Replica replica,
            TransactionQueue transactions,
            Cancellations cancellations,
            Dependencies dependencies,
            ReadBarrier barrier,
            FinalReader finals,
            ValueSize size) {
        this.context = context;
        this.replica = replica;
        this.transactions = transactions;
        this.cancellations = cancellations;
        this.dependencies = dependencies;
        this.barrier = barrier;
        this.finals = finals;
        this.replies = new UserReplies(context);
        this.size = size;
    }

    public void poll(Input.Poll in) {
        lookUp(in.id(), in.job(), () -> replies.refused(in.id(), 404, "no such job"));
    }

    public void abort(Input.Abort in) {
        FinalRecord fin = replica.fin(in.job());
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

    private void abortKnown(Input.Abort in) {
        FinalRecord fin = replica.fin(in.job());
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

    private void cancel(Input.Abort in, JobRecord record, long version) {
        String job = record.job().id();
        FinalRecord fin = new FinalRecord(true, context.wall());
        JobRecord marked =
                record.cancelled(context.wall(), size, context.settings().valueBytes());
        Transaction txn = new Transaction.Builder()
                .when(Keys.job(job), version)
                .set(Keys.job(job), marked)
                .set(Keys.fin(job), fin)
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
        FinalRecord fin = replica.fin(job);
        if (fin != null) {
            replies.finalState(id, job, fin);
            return;
        }
        barrier.await(() -> answerKnown(id, job, unknown), silent);
    }

    private void answerKnown(long id, String job, Runnable unknown) {
        FinalRecord fin = replica.fin(job);
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

    private static JobState active(JobEntry job) {
        int live = job.live();
        return new JobState(job.id, live > 0 ? Condition.RUNNING : Condition.PENDING, job.done(), live);
    }

    private void lookUpFinal(long id, String job, Runnable unknown) {
        boolean asked = finals.read(job, new FinalReader.Listener() {
            @Override
            public void found(FinalRecord result) {
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
