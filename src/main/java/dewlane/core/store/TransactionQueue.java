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
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sends conditional writes, the most urgent first, within this controller's {@link WriteRateLimiter}. What users wait
 * for, and the map, is few and not held up by the budget; the rest then waits longer.
 *
 * <p>A transaction that got no answer may have been applied or may yet be. It is sent again under the same conditions
 * until the answer is definite; the state service applies it at most once, because it changes a key it is conditional
 * on. Only what a user has stopped waiting for is dropped. A conflict after such a silence may mean that an earlier
 * copy won: whoever sent it must look at the state as of the conflict's revision before deciding anything.
 */
public final class TransactionQueue {
    /** Told the answer. */
    public interface Listener {
        /**
         * Called once, with the definite answer and its revision. What a user has waited too long for is told as
         * refused or unknown instead; it may then yet be applied.
         */
        void completed(Transaction.Status status, long revision);
    }

    private static final class Entry {
        final long id;
        final TransactionPriority urgency;
        final Transaction txn;
        final Listener listener;
        final long submittedAt;
        long notBefore;
        int tries;

        Entry(long id, TransactionPriority urgency, Transaction transaction, Listener listener, long submittedAt) {
            this.submittedAt = submittedAt;
            this.id = id;
            this.urgency = urgency;
            this.txn = transaction;
            this.listener = listener;
        }
    }

    private static final int MAX_IN_FLIGHT = 8;
    /** Writes that may wait in the queue before no more are built. */
    private static final int MAX_QUEUED = 6;
    /** The part of the burst that is kept for outcomes and users. */
    private static final double BURST_RESERVE = 0.25;

    /** Submissions that may wait before further ones are told to come back. */
    private static final int MAX_QUEUED_SUBMISSIONS = 16;
    /** What users wait for is given up on when they have. */
    private static final long USER_TIMEOUT_MS = 4000;
    /** Pauses before a write is tried again, doubled with each try. */
    private static final long RETRY_BACKOFF_MS = 100;

    private static final long USER_RETRY_BACKOFF_MS = 15;
    private static final long USER_REFUSED_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 1000;
    private static final int MAX_DOUBLINGS = 5;

    private final ControllerContext context;
    private final ControllerCounters counters;
    private final PriorityQueue<Entry> queue = new PriorityQueue<>(
            Comparator.<Entry, TransactionPriority>comparing(e -> e.urgency).thenComparingLong(e -> e.id));
    private final Long2ObjectLinkedOpenHashMap<Entry> inFlight = new Long2ObjectLinkedOpenHashMap<>();
    private long nextId = 1;
    /** Entries of the queue by urgency. */
    private final int[] queuedByUrgency = new int[TransactionPriority.values().length];

    private final WriteRateLimiter budget;
    private final ValueSizer size;
    private boolean sizeRefused;

    public TransactionQueue(ControllerContext context, ControllerCounters counters, ValueSizer size) {
        this.context = context;
        this.counters = counters;
        this.size = size;
        this.budget = new WriteRateLimiter(context);
    }

    /** Live controllers share the write rate. */
    public void shareAmong(int controllers) {
        budget.shareAmong(controllers);
    }

    /**
     * True once a write within the present limits was called invalid: the coming ones are in force, which they are only
     * after every controller has been upgraded.
     */
    public boolean wasSizeRejected() {
        return sizeRefused;
    }

    /** Queues a transaction; the listener is told its definite answer. */
    public void submit(TransactionPriority urgency, Transaction transaction, Listener listener) {
        enqueue(new Entry(nextId++, urgency, transaction, listener, context.nowMs()));
        sendPending();
    }

    /**
     * True if a write of this urgency would be sent soon. Whoever builds writes from what is known asks first: what
     * waits unbuilt gathers, what waits in the queue only grows old.
     */
    public boolean hasCapacity(TransactionPriority urgency) {
        int before = 0;
        for (int i = 0; i <= urgency.ordinal(); i++) {
            before += queuedByUrgency[i];
        }
        return before < MAX_QUEUED && budget.tokens() >= Math.max(1, budget.capacity() * reserve(urgency));
    }

    /**
     * True if a submission can be written soon, and then counts it. What is beyond that is better told to come back:
     * submissions that were all tried again and again took every change there was, and nothing accepted could run.
     */
    public boolean tryAdmitSubmission() {
        return queuedByUrgency[TransactionPriority.USER.ordinal()] < MAX_QUEUED_SUBMISSIONS
                && budget.tryAdmitSubmission();
    }

    private void enqueue(Entry entry) {
        queue.add(entry);
        queuedByUrgency[entry.urgency.ordinal()]++;
    }

    /** The part of the burst that is left to more urgent writes. */
    private static double reserve(TransactionPriority urgency) {
        return switch (urgency) {
            case LAUNCH -> BURST_RESERVE;
            case LATER -> 2 * BURST_RESERVE;
            default -> 0;
        };
    }

    /** True if changes are short, so that it pays to say more with each. */
    public boolean isScarce() {
        return budget.tokens() < budget.capacity() / 2;
    }

    /** The store answered a transaction, or did not. */
    public void onCompleted(Input.TransactionCompleted answer) {
        Entry entry = inFlight.remove(answer.id());
        if (entry == null) {
            return;
        }
        switch (answer.status()) {
            case COMMITTED, CONFLICT, INVALID -> {
                counters.add(Counter.CONFLICTS, answer.status() == Transaction.Status.CONFLICT ? 1 : 0);
                if (answer.status() == Transaction.Status.INVALID) {
                    reportInvalid(entry.txn);
                }
                entry.listener.completed(answer.status(), answer.revision());
            }
            default -> {
                if (answer.status() != Transaction.Status.UNKNOWN) {
                    counters.increment(Counter.REFUSED_TRANSACTIONS);
                    budget.onRefused(answer.status() == Transaction.Status.RATE_LIMITED);
                }
                if (isUserRequest(entry) && context.nowMs() - entry.submittedAt > USER_TIMEOUT_MS) {
                    entry.listener.completed(answer.status(), 0);
                } else {
                    retry(entry, answer.status());
                }
            }
        }
        sendPending();
    }

    /** Says which write was called invalid: it is not sent again as it is, and its writer makes another one. */
    private void reportInvalid(Transaction transaction) {
        counters.increment(Counter.INVALID_TRANSACTIONS);
        String largest = null;
        int most = 0;
        boolean leased = false;
        for (Transaction.Write write : transaction.writes()) {
            int bytes = write.value() == null ? 0 : size.bytes(write.value());
            leased |= write.lease() != 0;
            if (largest == null || bytes > most) {
                largest = write.key();
                most = bytes;
            }
        }
        if (!leased) {
            sizeRefused |= most > context.settings().maxValueBytes();
            context.info("a write of " + transaction.writes().size()
                    + " changes was called invalid; its largest value, of " + largest + ", has " + most + " bytes");
        }
    }

    private static boolean isUserRequest(Entry entry) {
        return entry.urgency == TransactionPriority.USER || entry.urgency == TransactionPriority.SAFETY;
    }

    /** What users wait for is tried again soon; the rest stays off until there is something to have. */
    private void retry(Entry entry, Transaction.Status status) {
        entry.tries++;
        long pause = RETRY_BACKOFF_MS;
        if (entry.urgency.compareTo(TransactionPriority.USER) <= 0) {
            boolean busy = status != Transaction.Status.UNKNOWN && isUserRequest(entry);
            pause = busy ? USER_REFUSED_BACKOFF_MS : USER_RETRY_BACKOFF_MS;
        }
        entry.notBefore = context.nowMs()
                + Math.min(MAX_BACKOFF_MS, pause << Math.min(entry.tries, MAX_DOUBLINGS))
                + context.random().nextInt((int) pause);
        enqueue(entry);
    }

    /** Sends what is queued, as far as the rate allows. */
    public void sendPending() {
        List<Entry> later = new ArrayList<>();
        while (!queue.isEmpty() && inFlight.size() < MAX_IN_FLIGHT) {
            Entry entry = queue.poll();
            queuedByUrgency[entry.urgency.ordinal()]--;
            int cost = Math.max(1, entry.txn.writes().size());
            if (entry.notBefore > context.nowMs()) {
                later.add(entry);
                continue;
            }
            if (entry.urgency.compareTo(TransactionPriority.USER) > 0
                    && budget.tokens()
                            < Math.min(cost + budget.capacity() * reserve(entry.urgency), budget.capacity())) {
                later.add(entry);
                break;
            }
            budget.spend(cost);
            counters.countTransaction(entry.urgency, entry.txn.writes().size());
            inFlight.put(entry.id, entry);
            context.emit(new Effect.CommitTransaction(entry.id, entry.txn));
        }
        later.forEach(this::enqueue);
    }
}
