package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.schema.Transaction;
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
    /** How urgent a write is, most urgent first. */
    public enum Urgency {
        MEMBERSHIP,
        SAFETY,
        USER,
        OUTCOME,
        LAUNCH,
        LATER
    }

    /** Told the answer. */
    public interface Listener {
        /**
         * Called once, with the definite answer and its revision. What a user has waited too long for is told as
         * refused or unknown instead; it may then yet be applied.
         */
        void answered(Transaction.Status status, long revision);
    }

    private static final class Entry {
        final long id;
        final Urgency urgency;
        final Transaction txn;
        final Listener listener;
        final long submittedAt;
        long notBefore;
        int tries;

        Entry(long id, Urgency urgency, Transaction txn, Listener listener, long submittedAt) {
            this.submittedAt = submittedAt;
            this.id = id;
            this.urgency = urgency;
            this.txn = txn;
            this.listener = listener;
        }
    }

    private static final int MAX_IN_FLIGHT = 8;
    /** Writes that may wait in the queue before no more are built. */
    private static final int MOST_WAITING = 6;
    /** The part of the burst that is kept for outcomes and users. */
    private static final double RESERVE = 0.25;

    /** Submissions that may wait before further ones are told to come back. */
    private static final int MOST_USERS_WAITING = 16;
    /** What users wait for is given up on when they have. */
    private static final long USER_PATIENCE_MS = 4000;
    /** Pauses before a write is tried again, doubled with each try. */
    private static final long PAUSE_MS = 100;

    private static final long USER_PAUSE_MS = 15;
    private static final long USER_REFUSED_PAUSE_MS = 50;
    private static final long LONGEST_PAUSE_MS = 1000;
    private static final int MOST_DOUBLINGS = 5;

    private final ControllerContext context;
    private final ControllerCounters counters;
    private final PriorityQueue<Entry> queue = new PriorityQueue<>(
            Comparator.<Entry, Urgency>comparing(e -> e.urgency).thenComparingLong(e -> e.id));
    private final Long2ObjectLinkedOpenHashMap<Entry> inFlight = new Long2ObjectLinkedOpenHashMap<>();
    private long nextId = 1;
    /** Entries of the queue by urgency. */
    private final int[] waiting = new int[Urgency.values().length];

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
    public boolean sizeWasRefused() {
        return sizeRefused;
    }

    public void submit(Urgency urgency, Transaction txn, Listener listener) {
        enqueue(new Entry(nextId++, urgency, txn, listener, context.now()));
        pump();
    }

    /**
     * True if a write of this urgency would be sent soon. Whoever builds writes from what is known asks first: what
     * waits unbuilt gathers, what waits in the queue only grows old.
     */
    public boolean open(Urgency urgency) {
        int before = 0;
        for (int i = 0; i <= urgency.ordinal(); i++) {
            before += waiting[i];
        }
        return before < MOST_WAITING && budget.tokens() >= Math.max(1, budget.capacity() * reserve(urgency));
    }

    /**
     * True if a submission can be written soon, and then counts it. What is beyond that is better told to come back:
     * submissions that were all tried again and again took every change there was, and nothing accepted could run.
     */
    public boolean admitsUser() {
        return waiting[Urgency.USER.ordinal()] < MOST_USERS_WAITING && budget.admitsUser();
    }

    private void enqueue(Entry entry) {
        queue.add(entry);
        waiting[entry.urgency.ordinal()]++;
    }

    /** The part of the burst that is left to more urgent writes. */
    private static double reserve(Urgency urgency) {
        return switch (urgency) {
            case LAUNCH -> RESERVE;
            case LATER -> 2 * RESERVE;
            default -> 0;
        };
    }

    /** True if changes are short, so that it pays to say more with each. */
    public boolean scarce() {
        return budget.tokens() < budget.capacity() / 2;
    }

    public void answered(Input.TransactionCompleted answer) {
        Entry entry = inFlight.remove(answer.id());
        if (entry == null) {
            return;
        }
        switch (answer.status()) {
            case COMMITTED, CONFLICT, INVALID -> {
                counters.conflicts += answer.status() == Transaction.Status.CONFLICT ? 1 : 0;
                if (answer.status() == Transaction.Status.INVALID) {
                    noteInvalid(entry.txn);
                }
                entry.listener.answered(answer.status(), answer.revision());
            }
            default -> {
                if (answer.status() != Transaction.Status.UNKNOWN) {
                    counters.refused++;
                    budget.refused(answer.status() == Transaction.Status.OVER_RATE);
                }
                if (fromUser(entry) && context.now() - entry.submittedAt > USER_PATIENCE_MS) {
                    entry.listener.answered(answer.status(), 0);
                } else {
                    tryAgain(entry, answer.status());
                }
            }
        }
        pump();
    }

    /** Says which write was called invalid: it is not sent again as it is, and its writer makes another one. */
    private void noteInvalid(Transaction txn) {
        counters.invalid++;
        String largest = null;
        int most = 0;
        boolean leased = false;
        for (Transaction.Write write : txn.apply()) {
            int bytes = write.value() == null ? 0 : size.bytes(write.value());
            leased |= write.lease() != 0;
            if (largest == null || bytes > most) {
                largest = write.key();
                most = bytes;
            }
        }
        if (!leased) {
            sizeRefused |= most > context.settings().valueBytes();
            context.info("a write of " + txn.apply().size() + " changes was called invalid; its largest value, of "
                    + largest + ", has " + most + " bytes");
        }
    }

    private static boolean fromUser(Entry entry) {
        return entry.urgency == Urgency.USER || entry.urgency == Urgency.SAFETY;
    }

    /** What users wait for is tried again soon; the rest stays off until there is something to have. */
    private void tryAgain(Entry entry, Transaction.Status status) {
        entry.tries++;
        long pause = PAUSE_MS;
        if (entry.urgency.compareTo(Urgency.USER) <= 0) {
            boolean busy = status != Transaction.Status.UNKNOWN && fromUser(entry);
            pause = busy ? USER_REFUSED_PAUSE_MS : USER_PAUSE_MS;
        }
        entry.notBefore = context.now()
                + Math.min(LONGEST_PAUSE_MS, pause << Math.min(entry.tries, MOST_DOUBLINGS))
                + context.random().nextInt((int) pause);
        enqueue(entry);
    }

    public void pump() {
        List<Entry> later = new ArrayList<>();
        while (!queue.isEmpty() && inFlight.size() < MAX_IN_FLIGHT) {
            Entry entry = queue.poll();
            waiting[entry.urgency.ordinal()]--;
            int cost = Math.max(1, entry.txn.apply().size());
            if (entry.notBefore > context.now()) {
                later.add(entry);
                continue;
            }
            if (entry.urgency.compareTo(Urgency.USER) > 0
                    && budget.tokens()
                            < Math.min(cost + budget.capacity() * reserve(entry.urgency), budget.capacity())) {
                later.add(entry);
                break;
            }
            budget.spend(cost);
            counters.wrote(entry.urgency, entry.txn.apply().size());
            inFlight.put(entry.id, entry);
            context.emit(new Effect.CommitTransaction(entry.id, entry.txn));
        }
        later.forEach(this::enqueue);
    }
}
