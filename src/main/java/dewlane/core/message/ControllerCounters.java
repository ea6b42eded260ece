package dewlane.core.message;

import dewlane.core.schema.TransactionPriority;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * The counters of one controller since its start. They measure no durations, so runs with the same inputs have the same
 * counts.
 */
public final class ControllerCounters {
    private final long[] counts = new long[Counter.values().length];
    private final long[] writesByPriority = new long[TransactionPriority.values().length];

    /** Adds one to the counter. */
    public void increment(Counter counter) {
        counts[counter.ordinal()]++;
    }

    /** Adds an amount to the counter. */
    public void add(Counter counter, long amount) {
        counts[counter.ordinal()] += amount;
    }

    /** Sets the counter to the value if that is higher; for a counter that holds a maximum. */
    public void raiseTo(Counter counter, long value) {
        counts[counter.ordinal()] = Math.max(get(counter), value);
    }

    /** Returns the current count. */
    public long get(Counter counter) {
        return counts[counter.ordinal()];
    }

    /** Counts a transaction that is sent, and its number of writes. */
    public void countTransaction(TransactionPriority priority, int writes) {
        increment(Counter.TRANSACTIONS);
        add(Counter.WRITES, writes);
        writesByPriority[priority.ordinal()] += writes;
    }

    /** Formats all counters in one line for the log. */
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
