package dewlane.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.job.DependencyGraph.Result;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when jobs become ready, and how failures reach dependents. */
class DependencyGraphTest {
    private final DependencyGraph graph = new DependencyGraph();

    @Test
    void dependentsBecomeReadyInOrderOnceTheirLastDependencyIsDone() {
        graph.add("join", List.of("left", "right"));
        graph.add("left", List.of("root"));
        graph.add("right", List.of("root"));
        graph.add("root", List.of());
        assertEquals(List.of("root"), List.copyOf(graph.ready()));
        graph.recordResult("root", Result.DONE);
        assertEquals(List.of("left", "right"), List.copyOf(graph.ready()));
        graph.recordResult("right", Result.DONE);
        assertFalse(graph.isReady("join"));
        graph.recordResult("left", Result.DONE);
        assertEquals(List.of("join"), List.copyOf(graph.ready()));
    }

    @Test
    void laterResultsAndRepeatedAddsAreIgnored() {
        graph.add("a", List.of());
        graph.add("b", List.of("a"));
        graph.recordResult("a", Result.DONE);
        assertEquals(List.of(), graph.recordResult("a", Result.FAILED));
        assertTrue(graph.isReady("b"));
        graph.add("a", List.of());
        assertFalse(graph.isReady("a"), "a job that is done must not become ready when it is added again");
    }

    @Test
    void failurePropagatesToAllDependents() {
        graph.add("a", List.of());
        graph.add("b", List.of("a"));
        graph.add("c", List.of("b", "other"));
        graph.add("other", List.of());
        assertEquals(Set.of("b", "c"), Set.copyOf(graph.recordResult("a", Result.FAILED)));
        graph.recordResult("other", Result.DONE);
        assertEquals(List.of(), List.copyOf(graph.ready()));
        graph.add("late", List.of("c"));
        assertFalse(graph.isReady("late"), "a dependent that is added after the failure fails, too");
    }

    @Test
    void dependentOfDoneDependencyIsReadyWhenAdded() {
        graph.add("a", List.of());
        graph.recordResult("a", Result.DONE);
        graph.add("b", List.of("a"));
        assertTrue(graph.isReady("b"));
    }
}
