package dewlane.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewlane.core.SmallStack;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the reading of deeply nested documents. */
class JsonDepthTest {
    /** The parser refuses deeper documents itself. */
    private static final int DEPTH = 990;

    /** Guards against a stack overflow on a submission whose fields are deeply nested. */
    @Test
    void depthOfDocumentDoesNotDetermineDepthOfStack() {
        String objects = "{\"x\":".repeat(DEPTH / 2);
        String arrays = "[".repeat(DEPTH / 2);
        String document = objects + arrays + "1" + "]".repeat(DEPTH / 2) + "}".repeat(DEPTH / 2);
        SmallStack.run(() -> assertEquals(DEPTH, depth(Json.parse(document.getBytes(StandardCharsets.UTF_8)))));
    }

    private static int depth(Object value) {
        int depth = 0;
        Object inner = value;
        while (inner instanceof Map || inner instanceof List) {
            inner = inner instanceof Map<?, ?> map ? map.get("x") : ((List<?>) inner).get(0);
            depth++;
        }
        return depth;
    }
}
