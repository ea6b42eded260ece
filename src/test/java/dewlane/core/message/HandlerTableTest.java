package dewlane.core.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the dispatch of messages to handlers, and the checks of duplicate and missing handlers. */
class HandlerTableTest {
    private sealed interface Message {}

    private record Text(String text) implements Message {}

    private record Count(int count) implements Message {}

    private final HandlerTable<Message> handlers = new HandlerTable<>(Message.class);

    @Test
    void eachMessageReachesTheHandlerOfItsType() {
        List<Object> handled = new ArrayList<>();
        handlers.on(Text.class, message -> handled.add(message.text()));
        handlers.on(Count.class, message -> handled.add(message.count()));
        handlers.requireComplete();
        handlers.dispatch(new Count(7));
        handlers.dispatch(new Text("seven"));
        assertEquals(List.of(7, "seven"), handled);
    }

    @Test
    void secondHandlerOfATypeIsRefused() {
        handlers.on(Text.class, message -> {});
        assertThrows(IllegalStateException.class, () -> handlers.on(Text.class, message -> {}));
    }

    @Test
    void typeWithoutHandlerIsFound() {
        handlers.on(Text.class, message -> {});
        assertThrows(IllegalStateException.class, handlers::requireComplete);
    }
}
