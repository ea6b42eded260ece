package dewlane.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that ids are decoded as they were encoded, and that they take few bytes. */
class JobIdsTest {
    private static final int RUNS = 300;
    private static final int MAX_IDS = 40;
    private static final int MAX_LENGTH = 300;

    @Test
    void anyIdsAreDecodedInOrder() {
        Random random = new Random(1);
        for (int run = 0; run < RUNS; run++) {
            List<String> ids = new ArrayList<>();
            for (int i = random.nextInt(MAX_IDS); i > 0; i--) {
                ids.add("wk-" + "7".repeat(random.nextInt(MAX_LENGTH)) + "é" + random.nextInt(10));
            }
            JobIds compact = JobIds.of(ids);
            assertEquals(ids, new ArrayList<>(compact));
            assertEquals(ids.size(), compact.size());
            assertEquals(ids.isEmpty(), compact.isEmpty());
            assertEquals(compact, JobIds.of(List.copyOf(ids)));
            assertEquals(compact.hashCode(), JobIds.of(List.copyOf(ids)).hashCode());
        }
    }

    @Test
    void idsDifferInValueOrOrder() {
        JobIds ids = JobIds.of(List.of("wk-1", "wk-12", ""));
        assertNotEquals(ids, JobIds.of(List.of("wk-12", "wk-1", "")));
        assertNotEquals(ids, JobIds.of(List.of("wk-1", "wk-12")));
        assertTrue(ids.contains("wk-12"));
        assertSame(ids, JobIds.of(ids));
        Iterator<String> iterator = JobIds.NONE.iterator();
        assertThrows(NoSuchElementException.class, iterator::next);
    }

    /** Guards against dependencies that take many times as much memory as in the store. */
    @Test
    void successiveIdsTakeThreeToFourBytes() {
        JobIds ids = JobIds.of(IntStream.range(100_000, 101_000)
                .mapToObj(number -> "wk-" + number)
                .toList());
        assertTrue(ids.encodedLength() < 4 * ids.size(), ids.encodedLength() + " characters");
    }
}
