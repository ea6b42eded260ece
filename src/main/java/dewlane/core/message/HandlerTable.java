package dewlane.core.message;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Passes each message to the one handler of its type. Every type of a sealed interface has a handler. */
public final class HandlerTable<M> {
    private final Class<M> sealedType;
    private final Map<Class<?>, Consumer<M>> handlers = new HashMap<>();

    /** A table without handlers, for the types that the sealed interface permits. */
    public HandlerTable(Class<M> sealedType) {
        this.sealedType = sealedType;
    }

    /** Sets the handler of a type. */
    public <T extends M> void on(Class<T> type, Consumer<? super T> handler) {
        Consumer<M> previous = handlers.put(type, message -> handler.accept(type.cast(message)));
        if (previous != null) {
            throw new IllegalStateException("two handlers of " + type);
        }
    }

    /** Throws {@link IllegalStateException} if a type has no handler. */
    public void requireComplete() {
        for (Class<?> type : sealedType.getPermittedSubclasses()) {
            if (!handlers.containsKey(type)) {
                throw new IllegalStateException("no handler of " + type);
            }
        }
    }

    /** Has the message handled. */
    public void dispatch(M message) {
        handlers.get(message.getClass()).accept(message);
    }
}
