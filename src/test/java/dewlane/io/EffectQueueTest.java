package dewlane.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.message.Effect;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Seen on an own day: commands that found no free connection were answered one within the other, until the stack was
 * full.
 */
class EffectQueueTest {
    private final EffectQueue queue = new EffectQueue(this::act);
    private int depth;
    private int deepest;
    private int acted;

    private void act(Effect effect) {
        depth++;
        deepest = Math.max(deepest, depth);
        if (++acted < 100_000) {
            queue.take(List.of(effect));
        }
        depth--;
    }

    @Test
    void effectsQueuedByAnEffectWaitForTheirTurn() {
        queue.take(List.of(new Effect.ListMachineTypes(), new Effect.ListStore()));
        assertEquals(1, deepest);
        assertEquals(100_001, acted);
    }
}
