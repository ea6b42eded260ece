package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.JobProgress.Outcome;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.TransactionQueue;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Decides when outcomes of attempts are written. Outcomes of a slice are delayed so that several share one write. */
public final class OutcomeBatcher {
    /** Delay while the write rate is not low. */
    private static final long DELAY_MS = 1000;
    /** Delay while the write rate is low. */
    private static final long LOW_RATE_DELAY_MS = 15_000;
    /**
     * Delay while the write rate is low and the team's limit leaves the job no capacity. Attempts count against the
     * limit until their end is durable.
     */
    private static final long LOW_RATE_AT_LIMIT_DELAY_MS = 5000;
    /**
     * Delay while the write rate is low, for a team with serialized launches, because these count an attempt until its
     * end is durable. While the write rate is not low, outcomes of such a team are not delayed.
     */
    private static final long LOW_RATE_SERIALIZED_DELAY_MS = 3000;

    private final ControllerContext context;
    private final TransactionQueue transactions;
    private final QuotaEnforcer quota;

    /** Creates a policy that depends on the write rate left in the queue and on the quotas of teams. */
    public OutcomeBatcher(ControllerContext context, TransactionQueue transactions, QuotaEnforcer quota) {
        this.context = context;
        this.transactions = transactions;
        this.quota = quota;
    }

    /** Records all known outcomes in the update. {@link #putDue} decides which of them the update writes. */
    void recordOutcomes(JobUpdate update) {
        if (!update.progress().hasOutcomes()) {
            return;
        }
        for (SliceEntry slice : update.job().slices()) {
            Slice after = withOutcomes(update, slice.value());
            if (after != slice.value()) {
                update.recordOutcomes(slice, after);
            }
        }
    }

    /** Returns the slice with the outcomes of its attempts, or the same object if none is known. */
    private static Slice withOutcomes(JobUpdate update, Slice slice) {
        if (slice.attempts().isEmpty()) {
            return slice;
        }
        BitSet done = slice.done();
        List<Attempt> remaining = new ArrayList<>();
        for (Attempt attempt : slice.attempts()) {
            Outcome outcome = outcomeOf(update, attempt);
            if (outcome == null) {
                remaining.add(attempt);
            } else if (outcome == Outcome.DONE) {
                done = done == slice.done() ? (BitSet) done.clone() : done;
                done.set(attempt.task() - slice.first());
            }
        }
        return remaining.size() == slice.attempts().size() ? slice : slice.withOutcomes(done, remaining);
    }

    private static Outcome outcomeOf(JobUpdate update, Attempt attempt) {
        return update.progress().outcome(attempt.idIn(update.job().id()));
    }

    /** Adds the outcomes that are due to the update, for as many slices as fit into the transaction. */
    void putDue(JobUpdate update) {
        update.forEachWithOutcomes((slice, value) -> {
            if (update.mayChange(slice) && !update.changes(slice) && isDue(update, slice, value)) {
                update.put(slice, value);
            }
        });
    }

    /**
     * Returns true if the outcomes of the slice must be written now. Every change of a slice is read by all
     * controllers, so outcomes are delayed while more are expected for the slice. The delay does not hold up other
     * tasks: the machine capacity of an ended attempt is already free. Only a team's limit counts an attempt until its
     * end is durable, so delays are shorter there. If tasks of the slice are launched, its outcomes are part of that
     * write in any case. Nothing is delayed if the slice is complete, if a cancelled job has no attempt left in it, or
     * if a task has to be retried.
     */
    private boolean isDue(JobUpdate update, SliceEntry slice, Slice value) {
        JobProgress progress = update.progress();
        long nowMs = context.nowMs();
        long delayMs = delayMs(update.job().job());
        return value.isComplete()
                || (update.job().isCancelled() && value.attempts().isEmpty())
                || nowMs - progress.batchOpenedAtMs(slice.number(), nowMs) >= delayMs
                || hasTaskToRetry(update, slice);
    }

    private long delayMs(Job job) {
        boolean rateIsLow = transactions.isWriteRateLow();
        if (quota.hasSerializedLimit(job)) {
            return rateIsLow ? LOW_RATE_SERIALIZED_DELAY_MS : 0;
        }
        if (!rateIsLow) {
            return DELAY_MS;
        }
        return quota.capacityFor(job) > 0 ? LOW_RATE_DELAY_MS : LOW_RATE_AT_LIMIT_DELAY_MS;
    }

    private static boolean hasTaskToRetry(JobUpdate update, SliceEntry slice) {
        for (Attempt attempt : slice.value().attempts()) {
            Outcome outcome = outcomeOf(update, attempt);
            if (outcome != null && outcome != Outcome.DONE) {
                return true;
            }
        }
        return false;
    }
}
