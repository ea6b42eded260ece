package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.CancellationTracker;
import dewlane.core.job.DependencyTracker;
import dewlane.core.job.SliceSplitter;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.ValueSizer;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Makes durable what is to be said of a job: outcomes of attempts on the machines of this part, launches, hand-overs,
 * its end, and a cancellation that passed down to it. Per job one write is under way at a time; it holds all that is to
 * be said and fits.
 *
 * <p>Writes are built when they can be sent: while the rate of changes is short, what is to be said of a job gathers,
 * and one change says more.
 */
public final class JobWriter {
    /** How long outcomes gather, and how long while the rate of changes is short. */
    private static final long OUTCOME_DELAY_MS = 1000;

    private static final long OUTCOME_DELAY_SCARCE_MS = 15_000;
    /** The same where the team's limit leaves the job no room, as attempts count until their end is durable. */
    private static final long OUTCOME_DELAY_AT_LIMIT_MS = 5000;
    /** The same where the team's limit is lent by what is durable. */
    private static final long OUTCOME_DELAY_SERIALIZED_MS = 3000;
    /** How long a job rests after a write about it was called invalid. */
    private static final long INVALID_PAUSE_MS = 2000;
    /** No slice with fewer attempts and done marks is near the size that a value may have. */
    private static final int MIN_BYTES_PER_ENTRY = 64;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final DependencyTracker dependencies;
    private final QuotaEnforcer quota;
    private final LaunchPlanner planner;
    private final CancellationTracker cancellations;
    private final ControllerCounters counters;
    private final ValueSizer size;
    private final String self;

    public JobWriter(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            Membership membership,
            TransactionQueue transactions,
            DependencyTracker dependencies,
            QuotaEnforcer quota,
            LaunchPlanner planner,
            CancellationTracker cancellations,
            ControllerCounters counters,
            ValueSizer size) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.transactions = transactions;
        this.dependencies = dependencies;
        this.quota = quota;
        this.planner = planner;
        this.cancellations = cancellations;
        this.counters = counters;
        this.size = size;
        this.self = context.settings().controllerName();
    }

    /** Writes what there is to say of a job; launches only if allowed. */
    void writeNext(JobEntry job, boolean launches) {
        JobProgress work = machines.progress().getOrCreate(job.id());
        if (work.isBusy(replica.revision(), context.nowMs())
                || replica.isUnreadable(job.id())
                || !transactions.hasCapacity(TransactionPriority.OUTCOME)) {
            return;
        }
        if (!job.isCancelled() && dependencies.isCancelled(job)) {
            propagateCancellation(job, work);
            return;
        }
        Settings settings = context.settings();
        int reserved = quota.isSerialized(job.job()) ? 1 : 0;
        JobUpdate update = new JobUpdate(
                job,
                work,
                settings.maxTransactionWrites() - reserved,
                settings.maxTransactionPreconditions() - reserved);
        applyOutcomes(update);
        if ((job.isCancelled() ? update.hasNoAttempts() : update.allDone()) && end(update)) {
            return;
        }
        boolean cut = cutLargeSlices(update);
        if (!cut
                && !cancellations.mustNotRun(job)
                && launches
                && context.nowMs() >= work.retryAtMs()
                && transactions.hasCapacity(TransactionPriority.LAUNCH)) {
            planner.plan(update);
        }
        if (!cut) {
            addDueOutcomes(update);
        }
        if (!update.isEmpty()) {
            Transaction.Builder transaction = new Transaction.Builder();
            update.write(transaction, replica.partitionMapRevision());
            if (!update.launches.isEmpty()) {
                quota.addPrecondition(transaction, job.job());
            }
            write(update, transaction);
        }
    }

    private void applyOutcomes(JobUpdate update) {
        for (SliceEntry slice : update.job.slices()) {
            Slice after = applyOutcomes(update.job, slice.value(), update.progress);
            if (after != slice.value()) {
                update.apply(slice, after);
            }
        }
    }

    private Slice applyOutcomes(JobEntry job, Slice slice, JobProgress work) {
        if (!work.hasOutcomes() || slice.attempts().isEmpty()) {
            return slice;
        }
        BitSet done = slice.done();
        List<Attempt> left = new ArrayList<>();
        for (Attempt attempt : slice.attempts()) {
            Outcome outcome = work.outcome(new AttemptId(job.id(), attempt.task(), attempt.number()));
            if (outcome == null) {
                left.add(attempt);
            } else if (outcome == Outcome.DONE) {
                done = done == slice.done() ? (BitSet) done.clone() : done;
                done.set(attempt.task() - slice.first());
            }
        }
        return left.size() == slice.attempts().size() ? slice : slice.withOutcomes(done, left);
    }

    /**
     * Brings slices that were stored under larger limits within the present ones. A slice that a few pieces hold is cut
     * at once. One that needs more is cut by new slices for its last tasks, group by group, while it keeps its stored
     * value until the rest fits: see {@link StoreReplica}. Version 0.1 would not understand that, so while it may run,
     * the slice's own value shrinks piece by piece, above the coming limit but below what is stored.
     *
     * @return true if something is cut and has to be written
     */
    private boolean cutLargeSlices(JobUpdate update) {
        boolean cut = false;
        for (SliceEntry slice : update.job.slices()) {
            Slice value = update.value(slice);
            if (!mayExceedLimit(value)) {
                continue;
            }
            boolean mine = self.equals(Partitioner.ownerOf(replica.partitionMap(), slice.key(), value));
            if (mine || update.withOutcomes().containsKey(slice)) {
                List<Slice> pieces =
                        SliceSplitter.split(value, context.settings().maxValueBytes());
                if (pieces.size() > 1 && cut(update, slice, value, pieces, mine)) {
                    cut = true;
                } else if (pieces.size() > 1) {
                    // Its outcomes are written once it is cut: as it is, no value may be so large.
                    update.withOutcomes().remove(slice);
                }
            }
        }
        return cut;
    }

    private boolean mayExceedLimit(Slice slice) {
        int marks = slice.attempts().size() + slice.done().cardinality();
        return marks * MIN_BYTES_PER_ENTRY > context.settings().maxValueBytes();
    }

    private boolean cut(JobUpdate update, SliceEntry slice, Slice value, List<Slice> pieces, boolean mine) {
        int room = update.remainingWrites();
        if (pieces.size() <= room) {
            update.put(slice, pieces.get(0));
            pieces.subList(1, pieces.size()).forEach(update::create);
        } else if (mine && (membership.allControllersUpgraded() || transactions.wasSizeRejected())) {
            // What is taken over must be in no launch that is still on its way: the owner alone does this, under the
            // map.
            pieces.subList(pieces.size() - room, pieces.size()).forEach(update::create);
            update.dependOn(slice);
        } else if (room >= 2) {
            List<Slice> last = pieces.subList(pieces.size() - room + 1, pieces.size());
            update.put(slice, value.subrange(0, last.get(0).first() - value.first()));
            last.forEach(update::create);
        } else {
            return false;
        }
        context.info("cutting " + slice.key() + ", which is larger than values may be, into " + pieces.size());
        return true;
    }

    /** Outcomes that have gathered for long enough are written, as many as the transaction has room for. */
    private void addDueOutcomes(JobUpdate update) {
        update.withOutcomes().forEach((slice, value) -> {
            if (update.mayChange(slice) && !update.changed().containsKey(slice) && isDue(update, slice, value)) {
                update.put(slice, value);
            }
        });
    }

    /**
     * Outcomes of tasks whose slice has others to come can wait for more, as each change is read by every controller:
     * the room of what ended is free already. Not so under a limit that is lent by what is durable. What is launched of
     * a slice is written with its outcomes, so those cost no change of their own.
     */
    private boolean isDue(JobUpdate update, SliceEntry slice, Slice value) {
        long most = gatherMs(update.job.job());
        return value.isComplete()
                || update.job.isCancelled() && value.attempts().isEmpty()
                || context.nowMs() - update.progress.gatheringSince(slice.number(), context.nowMs()) >= most
                || hasToRunAgain(update, slice);
    }

    private long gatherMs(Job job) {
        boolean scarce = transactions.isScarce();
        if (quota.isSerialized(job)) {
            return scarce ? OUTCOME_DELAY_SERIALIZED_MS : 0;
        }
        if (!scarce) {
            return OUTCOME_DELAY_MS;
        }
        return quota.capacityFor(job) > 0 ? OUTCOME_DELAY_SCARCE_MS : OUTCOME_DELAY_AT_LIMIT_MS;
    }

    private static boolean hasToRunAgain(JobUpdate update, SliceEntry slice) {
        for (Attempt attempt : slice.value().attempts()) {
            Outcome outcome = update.progress.outcome(new AttemptId(update.job.id(), attempt.task(), attempt.number()));
            if (outcome != null && outcome != Outcome.DONE) {
                return true;
            }
        }
        return false;
    }

    /** Where several controllers made the last outcomes durable, one of them ends the job, so that they do not race. */
    private boolean isResponsibleForEnd(JobEntry job) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(job.id())))
                || job.slices().size() > context.settings().maxSlicesPerJob();
    }

    /**
     * Ends a job: its final state is written and its record removed by one transaction. All that this rests on is
     * durable or in the conditions, and never becomes untrue: done marks stay, and no launch follows a cancellation.
     * Slices beyond what the transaction holds are left over and deleted later.
     *
     * @return false if this is not to be done now, or not by this controller
     */
    private boolean end(JobUpdate update) {
        JobEntry job = update.job;
        if (update.withOutcomes().isEmpty() && !isResponsibleForEnd(job)) {
            return true;
        }
        Settings settings = context.settings();
        // A cancellation passes down first: who awaits the job is looked up by its record as long as that is there.
        if (update.withOutcomes().size() >= settings.maxTransactionPreconditions()
                || job.isCancelled() && dependencies.hasUncancelledDependents(job.id())) {
            return false;
        }
        Transaction.Builder transaction = new Transaction.Builder().require(StoreKeys.job(job.id()), job.revision());
        update.withOutcomes().keySet().forEach(slice -> transaction.require(slice.key(), slice.revision()));
        if (!job.isCancelled()) {
            transaction.put(StoreKeys.jobResult(job.id()), new StoredValue.JobResult(false, context.wallClockMs()));
        }
        transaction.delete(StoreKeys.job(job.id()));
        for (SliceEntry slice : job.slices()) {
            if (slice.revision() != 0
                    && transaction.writeCount() < settings.maxTransactionWrites()
                    && transaction.preconditionCount() < settings.maxTransactionPreconditions()) {
                transaction.require(slice.key(), slice.revision()).delete(slice.key());
            }
        }
        write(update, transaction);
        return true;
    }

    /**
     * Makes a cancellation durable that passed down from a job that this one awaits. The job never had a task, so its
     * end is written at once.
     */
    private void propagateCancellation(JobEntry job, JobProgress work) {
        if (!isResponsibleForEnd(job)) {
            return;
        }
        StoredValue.JobResult result = new StoredValue.JobResult(true, context.wallClockMs());
        Transaction.Builder transaction = new Transaction.Builder().require(StoreKeys.job(job.id()), job.revision());
        transaction.put(StoreKeys.jobResult(job.id()), result);
        if (job.liveAttemptCount() == 0 && !dependencies.hasUncancelledDependents(job.id())) {
            transaction.delete(StoreKeys.job(job.id()));
        } else {
            int most = context.settings().maxValueBytes();
            transaction.put(StoreKeys.job(job.id()), job.record().asCancelled(context.wallClockMs(), size, most));
        }
        write(new JobUpdate(job, work, 0, 0), transaction);
    }

    private void write(JobUpdate update, Transaction.Builder transaction) {
        JobProgress work = update.progress;
        work.beginWrite();
        update.changed().keySet().forEach(slice -> work.resetGathering(slice.number()));
        Job spec = update.job.job();
        int launched = update.launches.size();
        TransactionPriority urgency = launched > 0 ? TransactionPriority.LAUNCH : TransactionPriority.OUTCOME;
        transactions.submit(urgency, transaction.build(), (status, revision) -> {
            work.completeWrite(revision);
            if (status == Transaction.Status.COMMITTED) {
                counters.add(Counter.TASKS_LAUNCHED, launched);
            } else if (status == Transaction.Status.INVALID) {
                work.pauseUntil(context.nowMs() + INVALID_PAUSE_MS);
            }
            if (launched > 0) {
                quota.onLaunchCompleted(spec, revision);
            }
        });
    }
}
