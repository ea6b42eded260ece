package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.store.StoreReplica;
import java.util.Collection;

/**
 * Logs when jobs wait for dependencies, become ready, or are cancelled because a dependency is cancelled. Every
 * controller observes the same events, so only the partition owner of the job's key logs them.
 */
final class DependencyEventLog {
    private static final int MAX_LOGGED_DEPENDENCIES = 5;

    private final ControllerContext context;
    private final StoreReplica replica;

    DependencyEventLog(ControllerContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Logs that a new job waits for the dependencies. */
    void logWaiting(String job, Collection<String> dependencies) {
        logAsOwner(
                job,
                "job " + job + " waits for " + dependencies.size() + " dependencies: "
                        + dependencies.stream().limit(MAX_LOGGED_DEPENDENCIES).toList());
    }

    /** Logs that the last dependency of a job is done. */
    void logReady(String job, String lastDependency) {
        logAsOwner(job, "job " + job + " is ready: its last dependency " + lastDependency + " is done");
    }

    /** Logs that jobs are cancelled because a job that they depend on, directly or transitively, is cancelled. */
    void logCancelled(Collection<String> jobs, String dependency) {
        jobs.forEach(job -> logAsOwner(job, "job " + job + " is cancelled through " + dependency));
    }

    private void logAsOwner(String job, String text) {
        String owner = Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(job));
        if (context.settings().controllerName().equals(owner)) {
            context.info(text);
        }
    }
}
