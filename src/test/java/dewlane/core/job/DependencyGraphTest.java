package dewlane.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.SmallStack;
import dewlane.core.job.DependencyGraph.Result;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
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

    /** Guards against edges of a removed job that count again, or twice, once the job is listed anew. */
    @Test
    void jobThatIsAddedAgainHasItsDependenciesOnce() {
        graph.add("a", List.of());
        graph.add("b", List.of("a"));
        graph.add("c", List.of("a", "b"));
        graph.add("d", List.of("c"));
        for (String id : List.of("a", "b", "c")) {
            graph.remove(id);
        }
        assertEquals(List.of(), List.copyOf(graph.dependents("a")));
        assertFalse(graph.hasDependents("b"));
        graph.add("a", List.of());
        graph.add("b", List.of("a"));
        graph.add("c", List.of("a", "b"));
        assertEquals(List.of("b", "c"), List.copyOf(graph.dependents("a")));
        assertEquals(List.of("d"), List.copyOf(graph.dependents("c")));
        graph.recordResult("a", Result.DONE);
        assertEquals(List.of("b"), List.copyOf(graph.unsatisfiedDependencies("c")));
        assertEquals(List.of("a", "b"), List.copyOf(graph.allDependencies("c")));
        assertEquals(List.of("b"), List.copyOf(graph.ready()));
        graph.recordResult("b", Result.DONE);
        assertEquals(List.of("c"), List.copyOf(graph.ready()));
    }

    /** Guards against memory that jobs leave behind when they are removed in any order. */
    @Test
    void graphIsEmptyOnceAllJobsAreRemoved() {
        Random random = new Random(1);
        List<String> ids = new ArrayList<>(
                IntStream.range(0, 200).mapToObj(String::valueOf).toList());
        for (int run = 0; run < 50; run++) {
            for (String id : ids) {
                graph.add(id, random.ints(5, 0, 200).mapToObj(String::valueOf).toList());
            }
            assertEquals(200, graph.jobCount());
            Collections.shuffle(ids, random);
            ids.forEach(graph::remove);
            assertEquals(0, graph.jobCount());
        }
    }

    /** Guards against work that grows with the square of the number of dependents when they are removed one by one. */
    @Test
    void manyDependentsOfOneJobAreRemovedInLinearTime() {
        SmallStack.run(() -> {
            List<String> dependents =
                    IntStream.range(0, 400_000).mapToObj(i -> "dependent " + i).toList();
            dependents.forEach(id -> graph.add(id, List.of("first")));
            for (String id : dependents) {
                graph.remove(id);
                assertEquals(graph.jobCount() > 0, graph.hasDependents("first"));
            }
            assertEquals(0, graph.jobCount());
        });
    }
}
