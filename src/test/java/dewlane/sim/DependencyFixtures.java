package dewlane.sim;

import static dewlane.sim.SimFixtures.job;
import static dewlane.sim.SimFixtures.jobId;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Helpers for tests of jobs with dependencies. */
final class DependencyFixtures {
    private static final long REPLY_MS = 3000;

    private DependencyFixtures() {}

    /** Returns the job with dependencies on the jobs of the given numbers. */
    static Job dependent(Job job, int... dependencies) {
        return job.withDependencies(
                IntStream.of(dependencies).mapToObj(SimFixtures::jobId).toList());
    }

    /** Returns a job of two short tasks of one CPU each. */
    static Job smallJob(int number, int... dependencies) {
        return dependent(job(number, 2, 1, 4), dependencies);
    }

    static SimController controller(SimCluster cluster, int number) {
        return cluster.controllers.get("n" + number);
    }

    /** Submits a job to a controller, without retries, and returns the answer. */
    static Effect.AnswerUser submitThrough(SimController controller, Job job) {
        controller.cluster.users.register(job);
        return awaitAnswer(controller.cluster, onReply -> controller.submit(job, onReply));
    }

    /** Polls a controller once for a job, and returns the condition in its answer, or null if it has none. */
    static JobCondition pollCondition(SimController controller, String job) {
        Effect.AnswerUser answer = awaitAnswer(controller.cluster, onReply -> controller.poll(job, onReply));
        return answer.job() == null ? null : answer.job().condition();
    }

    private static Effect.AnswerUser awaitAnswer(SimCluster cluster, Consumer<Consumer<Effect.AnswerUser>> request) {
        AtomicReference<Effect.AnswerUser> answer = new AtomicReference<>();
        request.accept(answer::set);
        cluster.runFor(REPLY_MS);
        assertNotNull(answer.get(), "no answer");
        return answer.get();
    }

    static boolean doneInStore(SimCluster cluster, int job) {
        return jobResult(cluster, job) instanceof StoredValue.JobResult result && !result.cancelled();
    }

    static boolean cancelledInStore(SimCluster cluster, int job) {
        return jobResult(cluster, job) instanceof StoredValue.JobResult result && result.cancelled();
    }

    private static StoredValue jobResult(SimCluster cluster, int job) {
        return cluster.store.get(StoreKeys.jobResult(jobId(job)));
    }
}
