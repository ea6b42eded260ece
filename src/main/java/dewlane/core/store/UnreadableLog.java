package dewlane.core.store;

import dewlane.core.message.Context;
import dewlane.core.message.Counters;
import dewlane.core.message.RateLimit;

/** Says which keys have values that cannot be read; of many, only some a minute. */
public final class UnreadableLog {
    /** Some lines at once, then one every ten seconds. */
    private static final double LINES_PER_S = 0.1;

    private static final double MOST_LINES = 10;

    private final Context context;
    private final Counters counters;
    private final RateLimit rate = new RateLimit(LINES_PER_S, MOST_LINES);

    public UnreadableLog(Context context, Counters counters) {
        this.context = context;
        this.counters = counters;
    }

    public void note(Delta.Unread unread) {
        counters.unreadable++;
        if (rate.take(context.now())) {
            context.info(
                    "the value of " + unread.key() + " cannot be read, what depends on it is held: " + unread.reason());
        }
    }
}
