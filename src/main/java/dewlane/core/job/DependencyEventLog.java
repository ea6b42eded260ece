package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.store.StoreReplica;
import java.util.Collection;

/**
 * Logs for operators how jobs become ready or are cancelled through their dependencies. All controllers see the same
 * events, so only the owner of a job's key logs those of the job.
 */
final class DependencyEventLog {
    private static final int MAX_DEPENDENCIES_NAMED = 5;

    private final ControllerContext context;
    private final StoreReplica replica;

    DependencyEventLog(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** A new job waits for dependencies. */
    void waiting(String job, Collection<String> dependencies) {
        logAsOwner(
                job,
                "job " + job + " waits for " + dependencies.size() + " dependencies: "
                        + dependencies.stream().limit(MAX_DEPENDENCIES_NAMED).toList());
    }

    /** The last dependency of a job is done. */
    void ready(String job, String lastDependency) {
        logAsOwner(job, "job " + job + " is ready: its last dependency " + lastDependency + " is done");
    }

    /** Jobs are cancelled through a job that they depend on. */
    void cancelled(Collection<String> jobs, String dependency) {
        jobs.forEach(job -> logAsOwner(job, "job " + job + " is cancelled through " + dependency));
    }

    private void logAsOwner(String job, String text) {
        String owner = Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(job));
        if (context.settings().controllerName().equals(owner)) {
            context.info(text);
        }
    }
}
