package dewlane.core.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that one failure does not keep other actions from running, and is not lost. */
class FailureIsolationTest {
    private final List<String> performed = new ArrayList<>();

    @Test
    void othersRunAndFirstFailureIsThrown() {
        RuntimeException first = new IllegalStateException("first");
        Error second = new StackOverflowError("second");
        Throwable thrown = assertThrows(
                RuntimeException.class,
                () -> FailureIsolation.runAll(List.of(
                        () -> performed.add("a"),
                        () -> {
                            throw first;
                        },
                        () -> {
                            throw (StackOverflowError) second;
                        },
                        () -> performed.add("b"))));
        assertSame(first, thrown);
        assertEquals(List.of(second), List.of(first.getSuppressed()));
        assertEquals(List.of("a", "b"), performed);
    }

    @Test
    void errorsOtherThanStackOverflowAreThrownAtOnce() {
        assertThrows(
                InternalError.class,
                () -> FailureIsolation.forEach(List.of("a", "b"), element -> {
                    performed.add(element);
                    throw new InternalError("injected");
                }));
        assertEquals(List.of("a"), performed);
    }
}
