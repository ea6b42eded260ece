package dewlane.core;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

/** Runs code on a stack as small as that of the I/O thread in a deployment. */
public final class SmallStack {
    /** The value of {@code -Xss} in deploy/service.toml. */
    private static final long STACK_BYTES = 256 * 1024;

    private static final Duration TIME_LIMIT = Duration.ofSeconds(30);

    private SmallStack() {}

    /** Code that may throw anything. */
    public interface Action {
        /** Runs the code. */
        void run() throws Exception;
    }

    /** Runs the action, and fails if it throws anything or takes too long. */
    public static void run(Action action) {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Runnable recording = () -> {
            try {
                action.run();
            } catch (Exception | Error e) {
                failure.set(e);
            }
        };
        Thread thread = new Thread(null, recording, "small stack", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        assertTimeoutPreemptively(TIME_LIMIT, () -> thread.join());
        assertNull(failure.get(), "failed on a small stack");
    }
}
