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
    private static final long STACK_TRACE_INTERVAL_MS = 10_000;

    private final Controller controller;
    private final EffectQueue effects;
    private final Consumer<Error> onFatalError;
    private final long startedAtNanos = System.nanoTime();
    private long stackTraceAtMs = -STACK_TRACE_INTERVAL_MS;

    /**
     * Creates a loop around the core.
     *
     * @param handler carries out the core's effects
     * @param onFatalError called with an error after which the process must not continue
     */
    ControllerLoop(Controller controller, Consumer<Effect> handler, Consumer<Error> onFatalError) {
        this.controller = controller;
        this.effects = new EffectQueue(handler);
        this.onFatalError = onFatalError;
    }

    /**
     * Handles one input. An exception or an overflow of the stack is logged; what the core changed before it is not
     * undone, and the core itself continues what must not stop. Any other error is fatal.
     */
    void accept(Input input) {
        try {
            effects.handleAll(controller.handle(monotonicMs(), System.currentTimeMillis(), input));
        } catch (RuntimeException | StackOverflowError e) {
            log(input, e);
        } catch (Error e) {
            onFatalError.accept(e);
        }
    }

    private long monotonicMs() {
        return (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
    }

    /** Logs a failure, with its stack trace unless one was logged recently. */
    private void log(Input input, Throwable failure) {
        String type = input.getClass().getSimpleName();
        if (monotonicMs() - stackTraceAtMs >= STACK_TRACE_INTERVAL_MS) {
            stackTraceAtMs = monotonicMs();
            LOG.error("exception while handling input {}", type, failure);
        } else {
            LOG.error("exception while handling input {}: {}", type, failure.toString());
        }
    }
}
