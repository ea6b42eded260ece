package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.message.Effect;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stack overflow: commands for which no connection was free completed at once, and the effects of each
 * completion were handled recursively.
 */
class EffectQueueTest {
    private final EffectQueue queue = new EffectQueue(this::handle);
    private int depth;
    private int maxDepth;
    private int handled;

    private void handle(Effect effect) {
        depth++;
        maxDepth = Math.max(maxDepth, depth);
        if (++handled < 100_000) {
            queue.handleAll(List.of(effect));
        }
        depth--;
    }

    @Test
    void effectsQueuedByAnEffectWaitForTheirTurn() {
        queue.handleAll(List.of(new Effect.ListMachineTypes(), new Effect.ListStore()));
        assertEquals(1, maxDepth);
        assertEquals(100_001, handled);
    }
}
