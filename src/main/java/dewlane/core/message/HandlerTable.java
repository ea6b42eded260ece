package dewlane.core.message;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Dispatches messages of a sealed interface to one handler per message type. */
public final class HandlerTable<M> {
    private final Class<M> sealedType;
    private final Map<Class<?>, Consumer<M>> handlers = new HashMap<>();

    /** Creates a table without handlers for the permitted types of the sealed interface. */
    public HandlerTable(Class<M> sealedType) {
        this.sealedType = sealedType;
    }

    /** Registers the handler of a type. Throws {@link IllegalStateException} if the type already has one. */
    public <T extends M> void on(Class<T> type, Consumer<? super T> handler) {
        Consumer<M> previous = handlers.put(type, message -> handler.accept(type.cast(message)));
        if (previous != null) {
            throw new IllegalStateException("a handler is already registered for " + type);
        }
    }

    /** Throws {@link IllegalStateException} if a permitted type has no handler. */
    public void requireComplete() {
        for (Class<?> type : sealedType.getPermittedSubclasses()) {
            if (!handlers.containsKey(type)) {
                throw new IllegalStateException("no handler is registered for " + type);
            }
        }
    }

    /** Calls the handler of the message's type. */
    public void dispatch(M message) {
        handlers.get(message.getClass()).accept(message);
    }
}
