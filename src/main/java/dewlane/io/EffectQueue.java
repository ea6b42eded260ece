package dewlane.io;

import dewlane.core.message.Effect;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Has effects handled one after the other. Effects that handling another one gives rise to wait for their turn, so that
 * the depth of the stack has a bound.
 */
final class EffectQueue {
    private final Deque<Effect> waiting = new ArrayDeque<>();
    private final Consumer<Effect> handler;
    private boolean draining;

    EffectQueue(Consumer<Effect> handler) {
        this.handler = handler;
    }

    /** Adds effects, and handles all that are queued unless that is going on already. */
    void take(Collection<Effect> effects) {
        waiting.addAll(effects);
        if (draining) {
            return;
        }
        draining = true;
        try {
            while (!waiting.isEmpty()) {
                handler.accept(waiting.poll());
            }
        } finally {
            draining = false;
        }
    }
}
