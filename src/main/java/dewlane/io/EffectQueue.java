package dewlane.io;

import dewlane.core.message.Effect;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Handles effects one after the other. An effect that is added while another one is handled is queued instead of being
 * handled recursively, so that the depth of the stack is bounded.
 */
final class EffectQueue {
    private final Deque<Effect> queue = new ArrayDeque<>();
    private final Consumer<Effect> handler;
    private boolean handling;

    EffectQueue(Consumer<Effect> handler) {
        this.handler = handler;
    }

    /** Queues effects, then handles all queued ones, unless a caller up the stack already does so. */
    void handleAll(Collection<Effect> effects) {
        queue.addAll(effects);
        if (handling) {
            return;
        }
        handling = true;
        try {
            while (!queue.isEmpty()) {
                handler.accept(queue.poll());
            }
        } finally {
            handling = false;
        }
    }
}
