package dewlane.core;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sends conditional writes, the most urgent first, under a token bucket below the state service's write rate. What
 * users wait for, and the map, is few and not held up by the bucket; the rest then waits longer.
 *
 * <p>A transaction that got no answer may have been applied or may yet be. It is sent again under the same conditions
 * until the answer is definite; the state service applies it at most once, because it changes a key it is conditional
 * on. A conflict after such a silence may mean that an earlier copy won: whoever sent it must look at the state as of
 * the conflict's revision before deciding anything.
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

    private static final double MOST_BOOST = 2.5;
    private static final double BOOST_PER_S = 0.2;
    /** The part of the write rate that submissions may take: the rest is for what was accepted. */
    private static final double USER_SHARE = 0.4;
    /** Submissions that may wait before further ones are told to come back. */
    private static final int MOST_USERS_WAITING = 16;
    /** What users wait for is given up on when they have. */
    private static final long USER_PATIENCE_MS = 4000;
    /** Refusals within so long are one: each would empty the bucket again, and nothing but users' writes be sent. */
    private static final long REFUSAL_MS = 500;
    /** Pauses before a write is tried again, doubled with each try. */
    private static final long PAUSE_MS = 100;

    private static final long USER_PAUSE_MS = 15;
    private static final long USER_REFUSED_PAUSE_MS = 50;
    private static final long LONGEST_PAUSE_MS = 1000;
    private static final int MOST_DOUBLINGS = 5;

    private final Context context;
    private final Counters counters;
    private final PriorityQueue<Entry> queue = new PriorityQueue<>(
            Comparator.<Entry, Urgency>comparing(e -> e.urgency).thenComparingLong(e -> e.id));
    private final Long2ObjectLinkedOpenHashMap<Entry> inFlight = new Long2ObjectLinkedOpenHashMap<>();
    private long nextId = 1;
    /** Entries of the queue by urgency. */
    private final int[] waiting = new int[Urgency.values().length];

    private double tokens;
    private long refilledAt = Long.MIN_VALUE;
    private int share = 1;
    private double boost = 1;
    private long refusedAt = Long.MIN_VALUE / 2;
    private double userTokens;

    TransactionQueue(Context context, Counters counters) {
        this.context = context;
        this.counters = counters;
        this.userTokens = userBurst();
    }

    /** Live controllers share the write rate. */
    void shareAmong(int controllers) {
        share = Math.max(1, controllers);
    }

    void submit(Urgency urgency, Transaction txn, Listener listener) {
        enqueue(new Entry(nextId++, urgency, txn, listener, context.now()));
        pump();
    }

    /**
     * True if a write of this urgency would be sent soon. Whoever builds writes from what is known asks first: what
     * waits unbuilt gathers, what waits in the queue only grows old.
     */
    boolean open(Urgency urgency) {
        refill();
        int before = 0;
        for (int i = 0; i <= urgency.ordinal(); i++) {
            before += waiting[i];
        }
        return before < MOST_WAITING && tokens >= Math.max(1, capacity() * reserve(urgency));
    }

    /**
     * True if a submission can be written soon, and then counts it. What is beyond that is better told to come back:
     * submissions that were all tried again and again took every change there was, and nothing accepted could run.
     */
    boolean admitsUser() {
        refill();
        if (waiting[Urgency.USER.ordinal()] >= MOST_USERS_WAITING || userTokens < 1) {
            return false;
        }
        userTokens--;
        return true;
    }

    private double userBurst() {
        return context.settings().stateWriteRps();
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
    boolean scarce() {
        refill();
        return tokens < capacity() / 2;
    }

    void answered(Input.TxnAnswer answer) {
        Entry entry = inFlight.remove(answer.id());
        if (entry == null) {
            return;
        }
        switch (answer.status()) {
            case COMMITTED, CONFLICT, INVALID -> {
                counters.conflicts += answer.status() == Transaction.Status.CONFLICT ? 1 : 0;
                entry.listener.answered(answer.status(), answer.revision());
            }
            default -> {
                if (answer.status() == Transaction.Status.REFUSED) {
                    refused();
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

    private void refused() {
        counters.refused++;
        boost = Math.max(1, boost / 2);
        if (context.now() - refusedAt >= REFUSAL_MS) {
            refusedAt = context.now();
            tokens = Math.min(tokens, 0);
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
            boolean busy = status == Transaction.Status.REFUSED && fromUser(entry);
            pause = busy ? USER_REFUSED_PAUSE_MS : USER_PAUSE_MS;
        }
        entry.notBefore = context.now()
                + Math.min(LONGEST_PAUSE_MS, pause << Math.min(entry.tries, MOST_DOUBLINGS))
                + context.random().nextInt((int) pause);
        enqueue(entry);
    }

    void pump() {
        refill();
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
                    && tokens < Math.min(cost + capacity() * reserve(entry.urgency), capacity())) {
                later.add(entry);
                break;
            }
            // What users wait for goes out at once and is owed. The debt has a bound: in a long outage it grew to what
            // took ten minutes to pay, and for so long nothing was launched.
            tokens = Math.max(Math.min(tokens, -capacity()), tokens - cost);
            counters.wrote(entry.urgency, entry.txn.apply().size());
            inFlight.put(entry.id, entry);
            context.emit(new Effect.SendTxn(entry.id, entry.txn));
        }
        later.forEach(this::enqueue);
    }

    /** An equal share, and more as long as the state service refuses none: others may need less than theirs. */
    private double rate() {
        return context.settings().stateWriteRps() * 0.85 / share * Math.min(boost, share);
    }

    private double capacity() {
        return Math.max(context.settings().txnOps(), rate());
    }

    private void refill() {
        if (refilledAt == Long.MIN_VALUE) {
            tokens = capacity();
        } else {
            double passedS = (context.now() - refilledAt) / 1000.0;
            tokens = Math.min(capacity(), tokens + rate() * passedS);
            userTokens = Math.min(userBurst(), userTokens + rate() * USER_SHARE * passedS);
            boost = Math.min(MOST_BOOST, boost + BOOST_PER_S * passedS);
        }
        refilledAt = context.now();
    }
}
