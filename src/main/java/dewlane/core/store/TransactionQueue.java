package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.TransactionPriority;
import dewlane.core.schema.ValueSizer;
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sends transactions in order of priority, within the rate of this controller's {@link WriteRateLimiter}. Transactions
 * that users wait for, and changes of the partition map, are few and are sent regardless of the rate; the others then
 * wait longer.
 *
 * <p>A transaction that got no answer may have been applied or may be applied later. It is sent again with the same
 * preconditions until the answer is definite; the store applies it at most once, because it changes a key that it has a
 * precondition on. It is given up only if a user requested it and has stopped waiting. If a transaction that was sent
 * several times ends in a conflict, an earlier copy of it may have been applied: its sender must read the state as of
 * the conflict's revision before it decides anything.
 */
public final class TransactionQueue {
    /** Receives the outcome of a transaction. */
    public interface Listener {
        /**
         * Called once, with the definite answer and its revision. For a transaction whose user has stopped waiting, the
         * status is that of the last answer, which was a refusal or unknown, and the revision is 0; the transaction may
         * still be applied.
         */
        void onCompleted(Transaction.Status status, long revision);
    }

    private static final int MAX_IN_FLIGHT = 8;
    /**
     * The number of queued transactions of the same or a higher priority at which {@link #hasCapacity} tells callers to
     * build no more.
     */
    private static final int MAX_QUEUED = 6;
    /**
     * The fraction of the burst that launches leave to transactions of higher priority; transactions of the lowest
     * priority leave twice as much.
     */
    private static final double BURST_RESERVE = 0.25;

    /** The number of queued submissions at which further ones are refused, so that users try again later. */
    private static final int MAX_QUEUED_SUBMISSIONS = 16;

    private final ControllerContext context;
    private final ControllerCounters counters;
    private final PriorityQueue<PendingTransaction> queue = new PriorityQueue<>(PendingTransaction.SENDING_ORDER);
    private final int[] queuedByPriority = new int[TransactionPriority.values().length];
    private final Long2ObjectLinkedOpenHashMap<PendingTransaction> inFlight = new Long2ObjectLinkedOpenHashMap<>();
    private final WriteRateLimiter rateLimiter;
    private final RetryPolicy retryPolicy;
    private final InvalidTransactions invalidTransactions;
    private long nextId = 1;

    /** Creates an empty queue. The sizer determines the largest value of an invalid transaction. */
    public TransactionQueue(ControllerContext context, ControllerCounters counters, ValueSizer sizer) {
        this.context = context;
        this.counters = counters;
        this.rateLimiter = new WriteRateLimiter(context);
        this.retryPolicy = new RetryPolicy(context);
        this.invalidTransactions = new InvalidTransactions(context, counters, sizer);
    }

    /** Sets the number of live controllers, which share the write rate. */
    public void setControllerCount(int controllers) {
        rateLimiter.setControllerCount(controllers);
    }

    /**
     * Returns true once a value within the initial size limit was rejected as invalid. The reduced limit is then in
     * force, and it comes into force only after every controller has been upgraded.
     */
    public boolean isReducedValueLimitDetected() {
        return invalidTransactions.isReducedValueLimitDetected();
    }

    /** Queues a transaction; the listener receives its outcome. */
    public void submit(TransactionPriority priority, Transaction transaction, Listener listener) {
        enqueue(new PendingTransaction(nextId++, priority, transaction, listener, context.nowMs()));
        sendPending();
    }

    /**
     * Returns true if a transaction of this priority would be sent soon. Callers check this before they build a
     * transaction from the current state: changes that are not built yet can still be combined, while a queued
     * transaction becomes outdated.
     */
    public boolean hasCapacity(TransactionPriority priority) {
        int queuedAhead = 0;
        for (int i = 0; i <= priority.ordinal(); i++) {
            queuedAhead += queuedByPriority[i];
        }
        return queuedAhead < MAX_QUEUED
                && rateLimiter.tokens() >= Math.max(1, rateLimiter.capacity() * reserveFraction(priority));
    }

    /**
     * Returns true if a submission can be written soon, and counts it against the rate for submissions. The user is
     * told to try others again later. If all submissions were queued and retried, they would use up the write rate, and
     * accepted jobs could not run.
     */
    public boolean tryAdmitSubmission() {
        return queuedByPriority[TransactionPriority.USER.ordinal()] < MAX_QUEUED_SUBMISSIONS
                && rateLimiter.tryAdmitSubmission();
    }

    /** Returns true if less than half of the burst is left, so that callers should combine more into a transaction. */
    public boolean isWriteRateLow() {
        return rateLimiter.tokens() < rateLimiter.capacity() / 2;
    }

    /** Called when the store has answered a transaction, or when its answer is unknown. */
    public void onCompleted(Input.TransactionCompleted answer) {
        PendingTransaction pending = inFlight.remove(answer.id());
        if (pending == null) {
            return;
        }
        Transaction.Status status = answer.status();
        switch (status) {
            case COMMITTED -> {}
            case CONFLICT -> counters.increment(Counter.CONFLICTS);
            case INVALID -> invalidTransactions.record(pending.transaction());
            case RATE_LIMITED, UNAVAILABLE -> {
                counters.increment(Counter.REFUSED_TRANSACTIONS);
                rateLimiter.onRefused(status == Transaction.Status.RATE_LIMITED);
            }
            case UNKNOWN -> {}
        }
        if (status.isDefinite()) {
            pending.listener().onCompleted(status, answer.revision());
        } else if (retryPolicy.hasTimedOut(pending)) {
            pending.listener().onCompleted(status, 0);
        } else {
            retryPolicy.scheduleRetry(pending, status);
            enqueue(pending);
        }
        sendPending();
    }

    /** Sends queued transactions as far as the rate allows. */
    public void sendPending() {
        List<PendingTransaction> deferred = new ArrayList<>();
        while (!queue.isEmpty() && inFlight.size() < MAX_IN_FLIGHT) {
            PendingTransaction next = dequeue();
            if (!next.isDue(context.nowMs())) {
                deferred.add(next);
            } else if (isWithinRate(next)) {
                send(next);
            } else {
                // No other transaction is sent before one that waits for the rate.
                deferred.add(next);
                break;
            }
        }
        deferred.forEach(this::enqueue);
    }

    private boolean isWithinRate(PendingTransaction pending) {
        if (pending.isExemptFromRateLimit()) {
            return true;
        }
        double tokens = rateLimiter.tokens();
        double capacity = rateLimiter.capacity();
        double needed = cost(pending.transaction()) + capacity * reserveFraction(pending.priority());
        return tokens >= Math.min(needed, capacity);
    }

    private void send(PendingTransaction pending) {
        Transaction transaction = pending.transaction();
        rateLimiter.spend(cost(transaction));
        counters.countTransaction(pending.priority(), transaction.writes().size());
        inFlight.put(pending.id(), pending);
        context.emit(new Effect.CommitTransaction(pending.id(), transaction));
    }

    private static int cost(Transaction transaction) {
        return Math.max(1, transaction.writes().size());
    }

    /** Returns the fraction of the burst that transactions of this priority leave to those of higher priorities. */
    private static double reserveFraction(TransactionPriority priority) {
        return switch (priority) {
            case LAUNCH -> BURST_RESERVE;
            case LATER -> 2 * BURST_RESERVE;
            case MEMBERSHIP, SAFETY, USER, OUTCOME -> 0;
        };
    }

    private void enqueue(PendingTransaction pending) {
        queue.add(pending);
        queuedByPriority[pending.priority().ordinal()]++;
    }

    private PendingTransaction dequeue() {
        PendingTransaction next = queue.poll();
        queuedByPriority[next.priority().ordinal()]--;
        return next;
    }
}
