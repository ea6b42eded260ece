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
 * Sends conditional writes, the most urgent first, within this controller's {@link WriteRateLimiter}. What users wait
 * for, and the partition map, is few and not held up by the rate; the rest then waits longer.
 *
 * <p>A transaction that got no answer may have been applied or may yet be. It is sent again under the same
 * preconditions until the answer is definite; the store applies it at most once, because it changes a key it is
 * conditional on. Only what a user has stopped waiting for is dropped. A conflict after such a silence may mean that an
 * earlier copy won: whoever sent it must look at the state as of the conflict's revision before deciding anything.
 */
public final class TransactionQueue {
    /** Told how a transaction ended. */
    public interface Listener {
        /**
         * Called once, with the definite answer and its revision. A transaction that a user has stopped waiting for
         * ends as refused or unknown instead, at revision 0; it may then yet be applied.
         */
        void onCompleted(Transaction.Status status, long revision);
    }

    private static final int MAX_IN_FLIGHT = 8;
    /** Transactions that may wait in the queue before no more are built. */
    private static final int MAX_QUEUED = 6;
    /** The fraction of the burst that launches leave to outcomes and users; what can wait leaves twice as much. */
    private static final double BURST_RESERVE = 0.25;

    /** Submissions that may wait before further ones are told to come back. */
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

    /** An empty queue; the sizer says which value of an invalid transaction is the largest. */
    public TransactionQueue(ControllerContext context, ControllerCounters counters, ValueSizer sizer) {
        this.context = context;
        this.counters = counters;
        this.rateLimiter = new WriteRateLimiter(context);
        this.retryPolicy = new RetryPolicy(context);
        this.invalidTransactions = new InvalidTransactions(context, counters, sizer);
    }

    /** Says how many live controllers share the write rate. */
    public void setControllerCount(int controllers) {
        rateLimiter.shareAmong(controllers);
    }

    /**
     * True once a write within the present limits was called invalid: the coming ones are in force, which they are only
     * after every controller has been upgraded.
     */
    public boolean isReducedValueLimitDetected() {
        return invalidTransactions.wasSizeRejected();
    }

    /** Queues a transaction; the listener is told how it ended. */
    public void submit(TransactionPriority priority, Transaction transaction, Listener listener) {
        enqueue(new PendingTransaction(nextId++, priority, transaction, listener, context.nowMs()));
        sendPending();
    }

    /**
     * True if a transaction of this priority would be sent soon. Whoever builds one from what is known asks first: what
     * waits unbuilt can still be combined, what waits in the queue only grows old.
     */
    public boolean hasCapacity(TransactionPriority priority) {
        int ahead = 0;
        for (int i = 0; i <= priority.ordinal(); i++) {
            ahead += queuedByPriority[i];
        }
        return ahead < MAX_QUEUED
                && rateLimiter.tokens() >= Math.max(1, rateLimiter.capacity() * reserveFraction(priority));
    }

    /**
     * True if a submission can be written soon, and then counts it. What is beyond that is better told to come back: if
     * all submissions were retried again and again, they would use up the write rate and nothing accepted could run.
     */
    public boolean tryAdmitSubmission() {
        return queuedByPriority[TransactionPriority.USER.ordinal()] < MAX_QUEUED_SUBMISSIONS
                && rateLimiter.tryAdmitSubmission();
    }

    /** True if little of the write rate is left, so that it pays to put more into each transaction. */
    public boolean isWriteRateLow() {
        return rateLimiter.tokens() < rateLimiter.capacity() / 2;
    }

    /** The store answered a transaction, or the answer is unknown. */
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
        } else if (retryPolicy.isAbandoned(pending)) {
            pending.listener().onCompleted(status, 0);
        } else {
            retryPolicy.scheduleRetry(pending, status);
            enqueue(pending);
        }
        sendPending();
    }

    /** Sends what is queued, as far as the rate allows. */
    public void sendPending() {
        List<PendingTransaction> deferred = new ArrayList<>();
        while (!queue.isEmpty() && inFlight.size() < MAX_IN_FLIGHT) {
            PendingTransaction next = dequeue();
            if (!next.isDue(context.nowMs())) {
                deferred.add(next);
            } else if (isWithinRate(next)) {
                send(next);
            } else {
                // Nothing overtakes a transaction that waits for the rate.
                deferred.add(next);
                break;
            }
        }
        deferred.forEach(this::enqueue);
    }

    private boolean isWithinRate(PendingTransaction pending) {
        if (pending.isExemptFromRate()) {
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

    /** The fraction of the burst that is left to more urgent transactions. */
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
