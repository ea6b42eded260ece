package dewlane.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewlane.core.SmallStack;
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
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Pipelines whose length and shape would exhaust the stack or the time of the I/O thread if they decided either. */
class LongPipelineTest {
    private static final int PIPELINE_JOBS = 40_000;
    private static final int DIAMONDS = 40;
    private static final int DEPENDENTS = 20_000;

    private final ControllerContext context = new ControllerContext(TestSettings.singleController(), 1);
    private final DependencyGraph graph = new DependencyGraph();
    private DependencyTracker dependencies;
    private final StoreReplica replica = new StoreReplica(change -> dependencies.onReplicaChange(change));
    private long revision;

    @BeforeEach
    void start() {
        dependencies = new DependencyTracker(context, replica, graph, new JobResultReader(context, replica));
    }

    /** Guards against a stack overflow when the last job of a pipeline is urgent. */
    @Test
    void urgentLastJobOfLongPipelineMakesAllItsDependenciesUrgent() {
        SmallStack.run(() -> {
            storePipeline();
            assertEquals(Priority.HIGH, replica.job("0").priority());
            assertTrue(replica.job("0").deadlineMs() < replica.job("1").deadlineMs());
        });
    }

    /** Guards against a stack overflow when the urgent last job of a pipeline is cancelled. */
    @Test
    void cancellationOfLastJobOfLongPipelineEndsItsUrgency() {
        SmallStack.run(() -> {
            storePipeline();
            store(record(lastJob()).asCancelled(5000, value -> 0, 1));
            assertEquals(Priority.IDLE, replica.job("0").priority());
            assertEquals(JobEntry.NO_DEADLINE, replica.job("0").deadlineMs());
        });
    }

    /** Guards against a stack overflow when the first job of a pipeline is cancelled, and all others with it. */
    @Test
    void cancellationOfFirstJobOfLongPipelineCancelsAllOthers() {
        SmallStack.run(() -> {
            storePipeline();
            store(record(job(0, Priority.IDLE, 0)).asCancelled(5000, value -> 0, 1));
            assertEquals(PIPELINE_JOBS, graph.failed().size());
        });
    }

    /**
     * Guards against work that grows with the square of the number of jobs when a restarted controller reads a pipeline
     * in which each job has an earlier deadline than those before it.
     */
    @Test
    void urgencyOfLongPipelineIsComputedOnceAfterRestart() {
        SmallStack.run(() -> {
            apply(record(job(0, Priority.IDLE, 0)));
            for (int i = 1; i < PIPELINE_JOBS; i++) {
                apply(record(job(i, Priority.IDLE, PIPELINE_JOBS - i, i - 1)));
            }
            dependencies.propagateUrgency();
            assertTrue(replica.job("0").deadlineMs() < replica.job("1").deadlineMs());
        });
    }

    /**
     * Guards against work that doubles with each diamond: the two paths through each one differ in length, so that each
     * path through all of them gives the first job another deadline.
     */
    @Test
    void deadlineOfSequenceOfDiamondsIsComputedOnce() {
        SmallStack.run(() -> {
            apply(record(withRunTime(job(0, Priority.IDLE, 0), 1)));
            for (int i = 0; i < DIAMONDS; i++) {
                int top = 3 * i;
                apply(record(withRunTime(job(top + 1, Priority.IDLE, 0, top), 1)));
                apply(record(withRunTime(job(top + 2, Priority.IDLE, 0, top), Math.pow(2, i))));
                apply(record(withRunTime(job(top + 3, Priority.IDLE, 0, top + 1, top + 2), 1)));
                dependencies.propagateUrgency();
            }
            store(record(job(3 * DIAMONDS + 1, Priority.HIGH, 1e9, 3 * DIAMONDS)));
            assertEquals(Priority.HIGH, replica.job("0").priority());
        });
    }

    /**
     * Guards against questions that each search the whole pipeline: after a restart the result of a job that ended
     * before is missing, and users ask about all jobs that depend on it.
     */
    @Test
    void questionsWhileResultIsMissingShareOneSearch() {
        SmallStack.run(() -> {
            apply(record(job(1, Priority.IDLE, 0, 0)));
            for (int i = 2; i < PIPELINE_JOBS; i++) {
                apply(record(job(i, Priority.IDLE, 0, i - 1)));
            }
            for (int i = 1; i < PIPELINE_JOBS; i++) {
                assertFalse(dependencies.areDependenciesResolved(String.valueOf(i)));
            }
            apply(record(job(PIPELINE_JOBS, Priority.IDLE, 0, PIPELINE_JOBS - 1)));
            assertFalse(dependencies.areDependenciesResolved(String.valueOf(PIPELINE_JOBS)));
            replica.cacheResult("0", new JobResult(false, 500));
            assertTrue(dependencies.areDependenciesResolved(String.valueOf(PIPELINE_JOBS)));
        });
    }

    /** Guards against work that grows with the square of the number of jobs that depend on one cancelled job. */
    @Test
    void cancellationOfJobWithManyDependentsCancelsThem() {
        SmallStack.run(() -> {
            Job first = job(0, Priority.IDLE, 0);
            apply(record(first));
            IntStream.rangeClosed(1, DEPENDENTS).forEach(i -> apply(record(job(i, Priority.HIGH, 0, 0))));
            dependencies.propagateUrgency();
            assertEquals(Priority.HIGH, replica.job("0").priority());
            store(record(first).asCancelled(5000, value -> 0, 1));
            assertEquals(1 + DEPENDENTS, graph.failed().size());
            assertEquals(Priority.IDLE, replica.job("0").priority());
        });
    }

    private void storePipeline() {
        apply(record(job(0, Priority.IDLE, 0)));
        for (int i = 1; i < PIPELINE_JOBS - 1; i++) {
            apply(record(job(i, Priority.IDLE, 0, i - 1)));
        }
        store(record(lastJob()));
    }

    private static Job lastJob() {
        return job(PIPELINE_JOBS - 1, Priority.HIGH, 1e9, PIPELINE_JOBS - 2);
    }

    private static Job job(int number, Priority priority, double deadlineS, int... dependencies) {
        return JobBuilder.job(String.valueOf(number))
                .priority(priority)
                .deadlineS(deadlineS)
                .build()
                .withDependencies(
                        IntStream.of(dependencies).mapToObj(String::valueOf).toList());
    }

    private static Job withRunTime(Job job, double expectedRunS) {
        return JobBuilder.job(job.id())
                .expectedRunS(expectedRunS)
                .priority(job.priority())
                .build()
                .withDependencies(job.dependencies());
    }

    private static JobRecord record(Job job) {
        return new JobRecord(job, List.of(), 0);
    }

    private void apply(JobRecord record) {
        replica.apply(new Input.KeyChange(StoreKeys.job(record.job().id()), record, ++revision));
    }

    private void store(JobRecord record) {
        apply(record);
        dependencies.propagateUrgency();
    }
}
