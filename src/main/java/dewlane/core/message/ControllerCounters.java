package dewlane.core.message;

import dewlane.core.schema.TransactionPriority;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * Counts what a controller has done since its start. Nothing in them depends on time, so equal runs have equal ones.
 */
public final class ControllerCounters {
    private final long[] counts = new long[Counter.values().length];
    private final long[] writesByPriority = new long[TransactionPriority.values().length];

    /** Adds one. */
    public void increment(Counter counter) {
        counts[counter.ordinal()]++;
    }

    /** Adds an amount. */
    public void add(Counter counter, long amount) {
        counts[counter.ordinal()] += amount;
    }

    /** The present count. */
    public long get(Counter counter) {
        return counts[counter.ordinal()];
    }

    /** Counts a transaction that is sent, with so many writes. */
    public void countTransaction(TransactionPriority priority, int writes) {
        increment(Counter.TRANSACTIONS);
        add(Counter.WRITES, writes);
        writesByPriority[priority.ordinal()] += writes;
    }

    /** All counters in one line, for the log. */
    public String summary() {
        StringJoiner text = new StringJoiner(", ");
        for (Counter counter : Counter.values()) {
            text.add(counter.label() + " " + get(counter));
        }
        return text + " (writes by priority: " + byPriority() + ")";
    }

    private String byPriority() {
        StringJoiner text = new StringJoiner(", ");
        for (TransactionPriority priority : TransactionPriority.values()) {
            text.add(priority.name().toLowerCase(Locale.ROOT) + " " + writesByPriority[priority.ordinal()]);
        }
        return text.toString();
    }
}
