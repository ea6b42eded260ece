package dewlane.io;

import dewlane.core.message.Effect;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Does what the core wants done, one effect after the other. What an effect itself gives rise to waits for its turn: a
 * controller alone with all machines once had so many commands refused at once that answering each within the other
 * overflowed the stack.
 */
final class EffectQueue {
    private final Deque<Effect> waiting = new ArrayDeque<>();
    private final Consumer<Effect> actor;
    private boolean acting;

    EffectQueue(Consumer<Effect> actor) {
        this.actor = actor;
    }

    void take(Collection<Effect> effects) {
        waiting.addAll(effects);
        if (acting) {
            return;
        }
        acting = true;
        try {
            while (!waiting.isEmpty()) {
                actor.accept(waiting.poll());
            }
        } finally {
            acting = false;
        }
    }
}
