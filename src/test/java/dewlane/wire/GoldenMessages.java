package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;

/** Compares encoded messages with their expected text, byte for byte. */
final class GoldenMessages {
    private GoldenMessages() {}

    /** Returns a message as it is received from the network. */
    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Asserts that the message is exactly the text in UTF-8. */
    static void assertMessage(String expected, byte[] message) {
        assertEquals(expected, new String(message, StandardCharsets.UTF_8));
        assertArrayEquals(bytes(expected), message);
    }
}
