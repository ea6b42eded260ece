package dewlane.io;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process on an error after which it must not continue, so that it is restarted: a lack of memory, an internal
 * error of the virtual machine, a class that cannot be loaded. The networking libraries log whatever a listener or task
 * throws, and go on without it. A controller that has lost the answer to its watch or its next tick in this way would
 * stay alive without serving. The deploy file has the virtual machine itself exit when the heap is exhausted, on any
 * thread; this class covers direct buffers, other errors, and processes started with other options.
 */
final class FatalErrors {
    private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);
    /**
     * The exit code after a fatal error; that of the virtual machine's option to exit on a lack of memory is the same.
     */
    static final int EXIT_CODE = 3;

    private FatalErrors() {}

    /** Returns a task that runs the given one and ends the process if it throws a fatal error. */
    static Runnable guard(Runnable task) {
        return () -> run(task);
    }

    /** Runs the task, and ends the process if it throws a fatal error. Exceptions are passed on. */
    static void run(Runnable task) {
        try {
            task.run();
        } catch (StackOverflowError e) {
            // The stack is free again, and nothing else is affected.
            throw e;
        } catch (Error e) {
            exit(e);
        }
    }

    /** Ends the process at once, as nothing can be relied on after the error. */
    static void exit(Error error) {
        try {
            LOG.error("fatal error, exiting", error);
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
