package dewlane.core.controller;

import dewlane.core.message.Input;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Passes each input to the one handler of its type. Every type of {@link Input} has a handler. */
final class InputDispatcher {
    private final Map<Class<?>, Consumer<Input>> handlers = new HashMap<>();

    /** Sets the handler of a type. */
    <T extends Input> void on(Class<T> type, Consumer<? super T> handler) {
        Consumer<Input> previous = handlers.put(type, input -> handler.accept(type.cast(input)));
        if (previous != null) {
            throw new IllegalStateException("two handlers of " + type);
        }
    }

    /** Throws {@link IllegalStateException} if a type of input has no handler. */
    void requireComplete() {
        for (Class<?> type : Input.class.getPermittedSubclasses()) {
            if (!handlers.containsKey(type)) {
                throw new IllegalStateException("no handler of " + type);
            }
        }
    }

    /** Has the input handled. */
    void dispatch(Input input) {
        handlers.get(input.getClass()).accept(input);
    }
}
