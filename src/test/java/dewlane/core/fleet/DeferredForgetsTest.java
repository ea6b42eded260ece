package dewlane.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.model.AttemptId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when the forgets that are deferred on a machine are due. */
class DeferredForgetsTest {
    private static final long MAX_MS = 3000;

    private final DeferredForgets forgets = new DeferredForgets();

    private static AttemptId attempt(int task) {
        return new AttemptId("wk-1", task, 1);
    }

    @Test
    void forgetsAreDueOnceTheOldestWasDeferredForTheGivenTime() {
        assertFalse(forgets.isDue(MAX_MS, MAX_MS), "none is deferred");
        assertTrue(forgets.add(attempt(0), 0));
        assertFalse(forgets.add(attempt(0), 500), "it is already deferred");
        forgets.add(attempt(1), 1000);
        assertFalse(forgets.isDue(MAX_MS - 1, MAX_MS));
        assertTrue(forgets.isDue(MAX_MS, MAX_MS));

        forgets.removeAll(List.of(attempt(0)));
        assertFalse(forgets.isDue(MAX_MS, MAX_MS));
        assertEquals(2000, forgets.longestMs(MAX_MS), "the other one counts from its own time");
    }

    @Test
    void forgetsAreDueOnceTheWorkersReportGrowsLarge() {
        for (int task = 0; task < DeferredForgets.MAX_ATTEMPTS; task++) {
            assertFalse(forgets.isDue(0, MAX_MS));
            forgets.add(attempt(task), 0);
        }
        assertTrue(forgets.isDue(0, MAX_MS));
    }
}
