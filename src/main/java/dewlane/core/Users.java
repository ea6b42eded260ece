package dewlane.core;

import dewlane.core.Effect.Condition;
import dewlane.core.Effect.JobState;
import dewlane.core.Replica.JobEntry;
import dewlane.core.Value.FinalRecord;
import dewlane.core.Value.JobRecord;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.function.Consumer;

/**
 * Answers submissions, polls and cancellations. What is not known to be final is told only behind a
 * {@link ReadBarrier}, so that no controller shows a state older than one that another has shown.
 */
final class Users {
    /** The part of the state service's requests that all controllers' reads of final states together may take. */
    private static final double FINAL_READ_SHARE = 0.2;

    private static final double LEAST_FINAL_READS = 5;
    /** When those come back who find the service busy, and those whose submission is more than can be written. */
    private static final int RETRY_S = 1;

    private static final int OVERLOAD_RETRY_S = 4;

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final JobDistributor dealer;
    private final Cancellations cancellations;
    private final ReadBarrier barrier;
    private final RateLimit finalReads;
    private final Long2ObjectOpenHashMap<Consumer<Input.ValueRead>> reads = new Long2ObjectOpenHashMap<>();
    private long nextRead = 1;

    Users(
            Context context,
            Replica replica,
            Machines machines,
            Membership membership,
            TransactionQueue transactions,
            JobDistributor dealer,
            Cancellations cancellations,
            ReadBarrier barrier) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.transactions = transactions;
        this.dealer = dealer;
        this.cancellations = cancellations;
        this.barrier = barrier;
        Settings settings = context.settings();
        double controllers = settings.peers().size() + 1;
        double perS = settings.stateRps() * FINAL_READ_SHARE / controllers;
        this.finalReads = new RateLimit(perS, Math.max(LEAST_FINAL_READS, perS));
    }

    void submit(Input.Submit in) {
        if (in.uid() == null) {
            answer(in.id(), 400, null, in.reason());
            return;
        }
        if (replica.job(in.uid()) != null || replica.fin(in.uid()) != null) {
            // A job that is known stays known, whatever the body of a retry says.
            lookUp(in.id(), in.uid(), () -> reject(in));
            return;
        }
        if (in.job() == null) {
            // No accepted job was malformed, but only the state service knows of all that are over. Where it does not
            // answer, a body that could never be accepted is told so all the same.
            lookUp(in.id(), in.uid(), () -> reject(in), () -> answer(in.id(), 400, null, in.reason()));
            return;
        }
        String unfit = unfit(in.job());
        if (unfit != null) {
            lookUp(in.id(), in.uid(), () -> answer(in.id(), 422, null, unfit));
        } else if (machines.types().isEmpty() || !membership.joined()) {
            answer(in.id(), 503, null, "not ready, try again");
        } else {
            accept(in);
        }
    }

    private void reject(Input.Submit in) {
        if (in.job() == null) {
            answer(in.id(), 400, null, in.reason());
        } else {
            accept(in);
        }
    }

    private void accept(Input.Submit in) {
        if (!membership.joined()) {
            answer(in.id(), 503, null, "not ready, try again");
            return;
        }
        if (!transactions.admitsUser()) {
            answerLater(in.id(), "too many submissions, try again", OVERLOAD_RETRY_S);
            return;
        }
        Job job = in.job().withAccepted(context.wall());
        Transaction.Builder txn = new Transaction.Builder()
                .when(Keys.job(job.id()), 0)
                .when(Keys.fin(job.id()), 0)
                .set(Keys.job(job.id()), new JobRecord(job, dealer.deal(job), 0));
        transactions.submit(TransactionQueue.Urgency.USER, txn.build(), (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                answer(in.id(), 201, new JobState(job.id(), Condition.PENDING, 0, 0), null);
            } else if (status == Transaction.Status.CONFLICT) {
                lookUp(in.id(), job.id(), () -> answer(in.id(), 503, null, "try again"));
            } else {
                unavailable(in.id());
            }
        });
    }

    /** Why the job can never run, or null. */
    private String unfit(Job job) {
        Settings.Team team = context.settings().teams().get(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        if ((team.cpusMax() > 0 && job.cpus() > team.cpusMax() + 1e-9)
                || (team.gpusMax() > 0 && job.gpus() > team.gpusMax() + 1e-9)) {
            return "a task needs more than the limit of " + job.team();
        }
        for (MachineType t : machines.types()) {
            boolean zoned = job.zone() == null || t.zones().contains(job.zone());
            if (job.allowsType(t.name()) && zoned && t.fits(job) > 0) {
                return null;
            }
        }
        return machines.types().isEmpty() ? null : "a task fits no allowed machine type";
    }

    void poll(Input.Poll in) {
        lookUp(in.id(), in.job(), () -> answer(in.id(), 404, null, "no such job"));
    }

    void abort(Input.Abort in) {
        FinalRecord fin = replica.fin(in.job());
        if (fin != null) {
            answerFinal(in.id(), in.job(), fin);
            return;
        }
        if (known(in.job()) != null) {
            // The write is conditional on what the replica shows, so it may be behind.
            abortKnown(in);
        } else {
            barrier.await(() -> abortKnown(in), () -> unavailable(in.id()));
        }
    }

    /** The job as the replica has it, or null if it is over or was never accepted. */
    private JobEntry known(String id) {
        JobEntry entry = replica.job(id);
        return entry == null || entry.record() == null ? null : entry;
    }

    private void abortKnown(Input.Abort in) {
        FinalRecord fin = replica.fin(in.job());
        JobEntry entry = known(in.job());
        if (fin != null) {
            answerFinal(in.id(), in.job(), fin);
        } else if (entry == null) {
            lookUpFinal(in.id(), in.job(), () -> answer(in.id(), 404, null, "no such job"));
        } else if (entry.aborted()) {
            answer(in.id(), 200, new JobState(in.job(), Condition.ABORTED, 0, 0), null);
        } else {
            cancel(in, entry.record(), entry.version());
        }
    }

    private void cancel(Input.Abort in, JobRecord record, long version) {
        Job job = record.job();
        FinalRecord fin = new FinalRecord(true, context.wall());
        Transaction txn = new Transaction.Builder()
                .when(Keys.job(job.id()), version)
                .set(Keys.job(job.id()), new JobRecord(job, record.deals(), context.wall()))
                .set(Keys.fin(job.id()), fin)
                .build();
        transactions.submit(TransactionQueue.Urgency.SAFETY, txn, (status, revision) -> {
            if (status == Transaction.Status.COMMITTED) {
                context.info("job " + job.id() + " cancelled");
                cancellations.confirmed(job.id());
                replica.rememberFinal(job.id(), fin);
                answer(in.id(), 200, new JobState(job.id(), Condition.ABORTED, 0, 0), null);
            } else if (status == Transaction.Status.CONFLICT) {
                // Done, or cancelled by another request or an earlier copy of this one: see which.
                barrier.await(() -> abortKnown(in), () -> unavailable(in.id()));
            } else {
                unavailable(in.id());
            }
        });
    }

    private void lookUp(long id, String job, Runnable unknown) {
        lookUp(id, job, unknown, () -> unavailable(id));
    }

    /**
     * Answers with the job's state, or runs {@code unknown} if it was never accepted, or {@code silent} if the state
     * service says nothing.
     */
    private void lookUp(long id, String job, Runnable unknown, Runnable silent) {
        FinalRecord fin = replica.fin(job);
        if (fin != null) {
            answerFinal(id, job, fin);
            return;
        }
        barrier.await(() -> answerKnown(id, job, unknown), silent);
    }

    private void answerKnown(long id, String job, Runnable unknown) {
        FinalRecord fin = replica.fin(job);
        JobEntry entry = known(job);
        if (fin != null) {
            answerFinal(id, job, fin);
        } else if (entry == null) {
            // A job's record is gone only once its final state is there.
            lookUpFinal(id, job, unknown);
        } else if (entry.aborted()) {
            answer(id, 200, new JobState(job, Condition.ABORTED, 0, 0), null);
        } else {
            answer(id, 200, active(entry), null);
        }
    }

    private static JobState active(JobEntry job) {
        int live = job.live();
        return new JobState(job.id, live > 0 ? Condition.RUNNING : Condition.PENDING, job.done(), live);
    }

    private void lookUpFinal(long id, String job, Runnable unknown) {
        if (!finalReads.take(context.now())) {
            answerLater(id, "too many questions, try again", RETRY_S);
            return;
        }
        read(Keys.fin(job), read -> {
            if (!read.known()) {
                unavailable(id);
            } else if (read.value() == null) {
                unknown.run();
            } else {
                replica.rememberFinal(job, (FinalRecord) read.value());
                answerFinal(id, job, (FinalRecord) read.value());
            }
        });
    }

    private void answerFinal(long id, String job, FinalRecord fin) {
        answer(id, 200, new JobState(job, fin.aborted() ? Condition.ABORTED : Condition.DONE, 0, 0), null);
    }

    private void unavailable(long id) {
        answerLater(id, "state service out of reach, try again", RETRY_S);
    }

    private void answer(long id, int status, JobState state, String reason) {
        context.emit(new Effect.AnswerUser(id, status, state, reason, RETRY_S));
    }

    private void answerLater(long id, String reason, int retryAfterS) {
        context.emit(new Effect.AnswerUser(id, 503, null, reason, retryAfterS));
    }

    private void read(String key, Consumer<Input.ValueRead> then) {
        long id = nextRead++;
        reads.put(id, then);
        context.emit(new Effect.ReadValue(id, key));
    }

    void valueRead(Input.ValueRead in) {
        Consumer<Input.ValueRead> then = reads.remove(in.id());
        if (then != null) {
            then.accept(in);
        }
    }
}
