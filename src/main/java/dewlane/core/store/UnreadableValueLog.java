package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.TokenBucket;

/** Logs which keys have values that cannot be read; of many, only some a minute. */
public final class UnreadableValueLog {
    /** Some lines at once, then one every ten seconds. */
    private static final double LINES_PER_S = 0.1;

    private static final double MAX_BURST_LINES = 10;

    private final ControllerContext context;
    private final ControllerCounters counters;
    private final TokenBucket rate = new TokenBucket(LINES_PER_S, MAX_BURST_LINES);

    /** A log with room for a burst of lines. */
    public UnreadableValueLog(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
    }

    /** Counts an unreadable value, and logs it unless there were many lately. */
    public void record(ReplicaChange.ValueUnreadable change) {
        counters.increment(Counter.UNREADABLE_VALUES);
        if (rate.tryAcquire(context.nowMs())) {
            context.info(
                    "the value of " + change.key() + " cannot be read, what depends on it is held: " + change.reason());
        }
    }
}
