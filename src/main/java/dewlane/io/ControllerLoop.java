package dewlane.io;

import dewlane.core.controller.Controller;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes inputs and the time to the core and has its effects carried out. Used on the I/O thread only. */
final class ControllerLoop {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerLoop.class);
    private static final long NANOS_PER_MS = 1_000_000;

    private final Controller controller;
    private final EffectQueue effects;
    private final long startedAtNanos = System.nanoTime();

    ControllerLoop(Controller controller, Consumer<Effect> handler) {
        this.controller = controller;
        this.effects = new EffectQueue(handler);
    }

    /** Handles one input. An exception is logged; what the core changed before it is not undone. */
    void accept(Input input) {
        try {
            long monotonicMs = (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
            effects.handleAll(controller.handle(monotonicMs, System.currentTimeMillis(), input));
        } catch (RuntimeException e) {
            LOG.error("exception while handling input {}", input.getClass().getSimpleName(), e);
        }
    }
}
