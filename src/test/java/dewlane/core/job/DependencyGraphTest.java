package dewlane.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.job.DependencyGraph.Result;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When jobs with dependencies may start. */
class DependencyGraphTest {
    private final DependencyGraph release = new DependencyGraph();

    @Test
    void dependantsBecomeReadyInOrderOnceTheirLastDependencyIsDone() {
        release.add("join", List.of("left", "right"));
        release.add("left", List.of("root"));
        release.add("right", List.of("root"));
        release.add("root", List.of());
        assertEquals(List.of("root"), List.copyOf(release.ready()));
        release.recordResult("root", Result.DONE);
        assertEquals(List.of("left", "right"), List.copyOf(release.ready()));
        release.recordResult("right", Result.DONE);
        assertFalse(release.isReady("join"));
        release.recordResult("left", Result.DONE);
        assertEquals(List.of("join"), List.copyOf(release.ready()));
    }

    @Test
    void laterResultsAndRepeatedArrivalsAreIgnored() {
        release.add("a", List.of());
        release.add("b", List.of("a"));
        release.recordResult("a", Result.DONE);
        assertEquals(List.of(), release.recordResult("a", Result.FAILED));
        assertTrue(release.isReady("b"));
        release.add("a", List.of());
        assertFalse(release.isReady("a"), "a repeated arrival starts nothing twice");
    }

    @Test
    void failurePassesToAllDependants() {
        release.add("a", List.of());
        release.add("b", List.of("a"));
        release.add("c", List.of("b", "other"));
        release.add("other", List.of());
        assertEquals(Set.of("b", "c"), Set.copyOf(release.recordResult("a", Result.FAILED)));
        release.recordResult("other", Result.DONE);
        assertEquals(List.of(), List.copyOf(release.ready()));
        release.add("late", List.of("c"));
        assertFalse(release.isReady("late"), "a dependant that arrives after the failure fails too");
    }

    @Test
    void dependantOfDoneDependencyIsReadyOnArrival() {
        release.add("a", List.of());
        release.recordResult("a", Result.DONE);
        release.add("b", List.of("a"));
        assertTrue(release.isReady("b"));
    }
}
