package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;

/** Compares messages with the recorded text of the protocols, byte for byte. */
final class Golden {
    private Golden() {}

    /** The bytes of a message as they come over the network. */
    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Fails unless the message has exactly the bytes of the text. */
    static void assertMessage(String expected, byte[] message) {
        assertEquals(expected, new String(message, StandardCharsets.UTF_8));
        assertArrayEquals(bytes(expected), message);
    }
}
