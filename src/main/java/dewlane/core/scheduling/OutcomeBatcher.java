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

/** Decides which outcomes of attempts are written when: those of a slice gather for a while, to share a write. */
public final class OutcomeBatcher {
    /** How long outcomes gather, and how long while writes are scarce. */
    private static final long DELAY_MS = 1000;

    private static final long DELAY_SCARCE_MS = 15_000;
    /** The same where the team's limit leaves the job no capacity, as attempts count until their end is durable. */
    private static final long DELAY_AT_LIMIT_MS = 5000;
    /** The same where the team's limit is enforced by serialized launches, which count what is durable. */
    private static final long DELAY_SERIALIZED_MS = 3000;

    private final ControllerContext context;
    private final TransactionQueue transactions;
    private final QuotaEnforcer quota;

    /** Batches by the scarcity of writes in the queue and by the teams' quotas. */
    public OutcomeBatcher(ControllerContext context, TransactionQueue transactions, QuotaEnforcer quota) {
        this.context = context;
        this.transactions = transactions;
        this.quota = quota;
    }

    /** Adds all known outcomes to the update; {@link #putDue} decides which of them are written by it. */
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

    /** The slice with the outcomes of its attempts; the same object if none is known. */
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

    /** Writes the outcomes that have gathered for long enough, for as many slices as the transaction holds. */
    void putDue(JobUpdate update) {
        update.forEachWithOutcomes((slice, value) -> {
            if (update.mayChange(slice) && !update.changes(slice) && isDue(update, slice, value)) {
                update.put(slice, value);
            }
        });
    }

    /**
     * Outcomes of tasks whose slice has others to come can wait for more, as each change is read by every controller:
     * the capacity of what ended is free already. Not so under a limit that counts what is durable. What is launched of
     * a slice is written with its outcomes, so those cost no change of their own.
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
        boolean scarce = transactions.isWriteRateLow();
        if (quota.hasSerializedLimit(job)) {
            return scarce ? DELAY_SERIALIZED_MS : 0;
        }
        if (!scarce) {
            return DELAY_MS;
        }
        return quota.capacityFor(job) > 0 ? DELAY_SCARCE_MS : DELAY_AT_LIMIT_MS;
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
