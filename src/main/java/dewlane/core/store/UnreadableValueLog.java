package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.TokenBucket;

/** Says which keys have values that cannot be read; of many, only some a minute. */
public final class UnreadableValueLog {
    /** Some lines at once, then one every ten seconds. */
    private static final double LINES_PER_S = 0.1;

    private static final double MOST_LINES = 10;

    private final ControllerContext context;
    private final ControllerCounters counters;
    private final TokenBucket rate = new TokenBucket(LINES_PER_S, MOST_LINES);

    public UnreadableValueLog(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
    }

    /** Counts an unreadable value, and logs it unless there were many of late. */
    public void report(ReplicaChange.ValueUnreadable unread) {
        counters.increment(Counter.UNREADABLE_VALUES);
        if (rate.tryAcquire(context.nowMs())) {
            context.info(
                    "the value of " + unread.key() + " cannot be read, what depends on it is held: " + unread.reason());
        }
    }
}
