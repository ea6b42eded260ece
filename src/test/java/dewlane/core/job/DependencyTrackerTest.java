package dewlane.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.config.TestSettings;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.Input;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.StoreReplica;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how readiness, urgency and cancellation of dependent jobs follow from changes of the replica. */
class DependencyTrackerTest {
    private final ControllerContext context = new ControllerContext(TestSettings.singleController(), 1);
    private final DependencyGraph graph = new DependencyGraph();
    private DependencyTracker dependencies;
    private final StoreReplica replica = new StoreReplica(change -> dependencies.onReplicaChange(change));
    private long revision;

    @BeforeEach
    void start() {
        dependencies = new DependencyTracker(context, replica, graph, new JobResultReader(context, replica));
    }

    private JobRecord record(String id, Priority priority, double deadlineS, String... dependencies) {
        Job job = JobBuilder.job(id)
                .priority(priority)
                .tasks(2)
                .deadlineS(deadlineS)
                .acceptedAtMs(1000)
                .build();
        return new JobRecord(job.withDependencies(List.of(dependencies)), List.of(), 0);
    }

    private void store(JobRecord record) {
        replica.apply(new Input.KeyChange(StoreKeys.job(record.job().id()), record, ++revision));
        dependencies.propagateUrgency();
    }

    @Test
    void dependencyInheritsPriorityAndDeadlineWhileItHasDependents() {
        store(record("first", Priority.IDLE, 0));
        store(record("second", Priority.STANDARD, 0, "first"));
        assertEquals(Priority.STANDARD, replica.job("first").priority());
        assertEquals(JobEntry.NO_DEADLINE, replica.job("first").deadlineMs());
        JobRecord last = record("last", Priority.HIGH, 100, "second");
        store(last);
        JobEntry first = replica.job("first");
        JobEntry second = replica.job("second");
        assertEquals(Priority.HIGH, first.priority());
        assertEquals(101_000, replica.job("last").deadlineMs());
        assertTrue(second.deadlineMs() <= 91_000, second.deadlineMs() + " must leave the last job enough time");
        assertTrue(
                first.deadlineMs() <= second.deadlineMs() - 10_000,
                first.deadlineMs() + " must leave both enough time");
        store(last.asCancelled(5000, value -> 0, 1));
        assertEquals(Priority.STANDARD, first.priority());
        assertEquals(JobEntry.NO_DEADLINE, first.deadlineMs());
        assertEquals(JobEntry.NO_DEADLINE, second.deadlineMs());
    }

    @Test
    void waitingTimeCountsFromEndOfLastDependency() {
        store(record("one", Priority.HIGH, 0));
        store(record("other", Priority.HIGH, 0));
        store(record("both", Priority.HIGH, 60, "one", "other"));
        replica.apply(new Input.KeyChange(StoreKeys.jobResult("other"), new JobResult(false, 70_000), ++revision));
        assertFalse(graph.isReady("both"));
        replica.apply(new Input.KeyChange(StoreKeys.jobResult("one"), new JobResult(false, 40_000), ++revision));
        assertTrue(graph.isReady("both"));
        assertEquals(70_000, replica.job("both").waitingSinceMs());
        assertEquals(61_000, replica.job("both").deadlineMs(), "the deadline counts from the acceptance of the job");
    }

    @Test
    void dependentsAreUnresolvedUntilResultOfDependencyIsRead() {
        store(record("second", Priority.HIGH, 0, "ended"));
        store(record("third", Priority.HIGH, 0, "second"));
        assertFalse(dependencies.areDependenciesResolved("second"));
        assertFalse(dependencies.areDependenciesResolved("third"));
        replica.cacheResult("ended", new JobResult(true, 500));
        assertTrue(dependencies.areDependenciesResolved("third"));
        assertTrue(dependencies.isCancelled(replica.job("second")) && dependencies.isCancelled(replica.job("third")));
    }
}
