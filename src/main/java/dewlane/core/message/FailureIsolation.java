package dewlane.core.message;

import java.util.List;
import java.util.function.Consumer;

/**
 * Runs actions that do not depend on each other, so that one that fails does not keep the others from running. The
 * first failure is thrown once all have run, with later ones as suppressed exceptions.
 *
 * <p>An overflow of the stack is treated like an exception, since the stack is usable again once the failed action has
 * ended. Other errors, such as a lack of memory, are thrown at once.
 */
public final class FailureIsolation {
    private Throwable firstFailure;

    private FailureIsolation() {}

    /** Runs all actions, in order. */
    public static void runAll(List<Runnable> actions) {
        forEach(actions, Runnable::run);
    }

    /** Performs the action for each element, in order. */
    public static <T> void forEach(Iterable<T> elements, Consumer<? super T> action) {
        FailureIsolation isolation = new FailureIsolation();
        for (T element : elements) {
            isolation.perform(action, element);
        }
        isolation.throwFirstFailure();
    }

    private <T> void perform(Consumer<? super T> action, T element) {
        try {
            action.accept(element);
        } catch (RuntimeException | StackOverflowError e) {
            record(e);
        }
    }

    private void record(Throwable failure) {
        if (firstFailure == null) {
            firstFailure = failure;
        } else if (firstFailure != failure) {
            firstFailure.addSuppressed(failure);
        }
    }

    private void throwFirstFailure() {
        if (firstFailure instanceof RuntimeException exception) {
            throw exception;
        } else if (firstFailure instanceof StackOverflowError error) {
            throw error;
        }
    }
}
