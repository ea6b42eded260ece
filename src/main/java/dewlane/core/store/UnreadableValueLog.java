package dewlane.core.store;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.message.TokenBucket;

/** Logs the keys whose values cannot be read, at a limited rate. */
public final class UnreadableValueLog {
    /** One line every ten seconds, after a burst of up to {@link #MAX_BURST_LINES}. */
    private static final double LINES_PER_S = 0.1;

    private static final double MAX_BURST_LINES = 10;

    private final ControllerContext context;
    private final ControllerCounters counters;
    private final TokenBucket rate = new TokenBucket(LINES_PER_S, MAX_BURST_LINES);

    /** Creates a log that allows a full burst of lines at first. */
    public UnreadableValueLog(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
    }

    /** Counts an unreadable value, and logs it if the rate limit allows. */
    public void record(ReplicaChange.ValueUnreadable change) {
        counters.increment(Counter.UNREADABLE_VALUES);
        if (rate.tryAcquire(context.nowMs())) {
            context.info(
                    "the value of " + change.key() + " cannot be read, what depends on it is held: " + change.reason());
        }
    }
}
