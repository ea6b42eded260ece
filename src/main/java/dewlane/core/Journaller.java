package dewlane.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;

/**
 * Sends conditional writes, the most urgent first, under a token bucket below the state service's write rate.
 *
 * <p>A transaction that got no answer may have been applied or may yet be. It is sent again under the same conditions
 * until the answer is definite; the state service applies it at most once, because it changes a key it is
 * conditional on. A conflict after such a silence may mean that an earlier copy won: whoever sent it must look at the
 * state as of the conflict's revision before deciding anything.
 */
public final class Journaller {
    /** How urgent a write is, most urgent first. */
    public enum Urgency { MEMBERSHIP, SAFETY, OUTCOME, USER, LAUNCH, LATER }

    /** Told the definite answer. */
    public interface Listener {
        void answered(Txn.Status status, long revision);
    }

    private static final class Entry {
        final long id;
        final Urgency urgency;
        final Txn txn;
        final Listener listener;
        long notBefore;
        int tries;

        Entry(long id, Urgency urgency, Txn txn, Listener listener) {
            this.id = id;
            this.urgency = urgency;
            this.txn = txn;
            this.listener = listener;
        }
    }

    private static final int MAX_IN_FLIGHT = 8;

    private final Context context;
    private final PriorityQueue<Entry> queue = new PriorityQueue<>(
            Comparator.<Entry, Urgency>comparing(e -> e.urgency).thenComparingLong(e -> e.id));
    private final Long2ObjectLinkedOpenHashMap<Entry> inFlight = new Long2ObjectLinkedOpenHashMap<>();
    private long nextId = 1;
    private double tokens;
    private long refilledAt = Long.MIN_VALUE;
    private int share = 1;

    Journaller(Context context) {
        this.context = context;
    }

    /** Live controllers share the write rate. */
    void shareAmong(int controllers) {
        share = Math.max(1, controllers);
    }

    void submit(Urgency urgency, Txn txn, Listener listener) {
        queue.add(new Entry(nextId++, urgency, txn, listener));
        pump();
    }

    /** True if launches should wait because more urgent writes already fill the rate. */
    boolean congested() {
        return queue.size() > 12;
    }

    void answered(Input.TxnAnswer answer) {
        Entry entry = inFlight.remove(answer.id());
        if (entry == null) {
            return;
        }
        switch (answer.status()) {
            case COMMITTED, CONFLICT, INVALID -> entry.listener.answered(answer.status(), answer.revision());
            default -> {
                entry.tries++;
                entry.notBefore = context.now() + Math.min(1000, 50L << Math.min(entry.tries, 5))
                        + context.random().nextInt(50);
                queue.add(entry);
            }
        }
        pump();
    }

    void pump() {
        refill();
        List<Entry> waiting = new ArrayList<>();
        while (!queue.isEmpty() && inFlight.size() < MAX_IN_FLIGHT) {
            Entry entry = queue.poll();
            int cost = Math.max(1, entry.txn.apply().size());
            if (entry.notBefore > context.now()) {
                waiting.add(entry);
                continue;
            }
            boolean reserved = entry.urgency.compareTo(Urgency.USER) > 0;
            if (tokens < (reserved ? Math.min(cost + capacity() * 0.25, capacity()) : Math.min(cost, capacity()))
                    && entry.urgency != Urgency.MEMBERSHIP) {
                waiting.add(entry);
                break;
            }
            tokens -= cost;
            inFlight.put(entry.id, entry);
            context.emit(new Effect.SendTxn(entry.id, entry.txn));
        }
        queue.addAll(waiting);
    }

    private double rate() {
        return context.settings().stateWriteRps() * 0.85 / share;
    }

    private double capacity() {
        return Math.max(context.settings().txnOps(), rate());
    }

    private void refill() {
        if (refilledAt == Long.MIN_VALUE) {
            tokens = capacity();
        } else {
            tokens = Math.min(capacity(), tokens + rate() * (context.now() - refilledAt) / 1000.0);
        }
        refilledAt = context.now();
    }
}
