package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.model.AttemptId;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.StoreReplica;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What this controller is doing for each job. A launch counts on its machine and for its team from the moment it is
 * decided, until the replica shows it or it turns out that it was not written.
 */
public final class JobProgressTable {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final TeamUsage teamUsage;
    private final String self;
    private final Map<String, JobProgress> byJob = new HashMap<>();
    /** Jobs with launches that the replica does not show yet, and jobs that are over. */
    private final Set<String> unreconciled = new LinkedHashSet<>();

    JobProgressTable(ControllerContext context, StoreReplica replica, TeamUsage teamUsage) {
        this.context = context;
        this.replica = replica;
        this.teamUsage = teamUsage;
        this.self = context.settings().controllerName();
    }

    /** What is being done for the job. */
    public JobProgress getOrCreate(String job) {
        return byJob.computeIfAbsent(job, id -> new JobProgress());
    }

    /** What is being done for the job, or null if that was nothing so far. */
    public JobProgress get(String job) {
        return byJob.get(job);
    }

    /** A launch was decided. */
    public void onLaunchDecided(String job, JobProgress.Launch launch) {
        getOrCreate(job).addLaunch(launch);
        unreconciled.add(job);
        launch.machine().load().usage().add(launch.spec());
        teamUsage.add(launch.spec(), self, 1);
    }

    /** The replica shows a slice, null if it is gone: launches up to its latest are counted from there. */
    void sliceObserved(String job, int sliceNumber, Slice slice) {
        JobProgress progress = byJob.get(job);
        if (progress != null && slice != null) {
            progress.removeLaunchesShownIn(sliceNumber, slice).forEach(this::releaseLaunch);
        }
    }

    /** The replica shows that the attempt is gone, so its outcome is durable. */
    void attemptRemoved(AttemptId attempt) {
        JobProgress progress = byJob.get(attempt.job());
        if (progress != null) {
            progress.removeOutcome(attempt);
        }
    }

    /** The job has no record any more. */
    void jobEnded(String job) {
        if (byJob.containsKey(job)) {
            unreconciled.add(job);
        }
    }

    /** Takes back what was counted for a launch when it was decided. */
    private void releaseLaunch(JobProgress.Launch launch) {
        launch.machine().load().usage().remove(launch.spec());
        teamUsage.add(launch.spec(), self, -1);
        launch.machine().load().markIdleIfEmpty(context.nowMs());
    }

    /** Counts the launches in flight for this controller, after the usage of all owners was reset. */
    void recountLaunches() {
        for (JobProgress progress : byJob.values()) {
            progress.launchesInFlight().forEach(launch -> teamUsage.addToOwner(launch.spec(), self, 1));
        }
    }

    /**
     * Takes back what was counted for launches whose write was refused: once the answer is in and the replica has
     * reached it, whatever it does not show by then was not launched.
     */
    public void reconcile() {
        for (Iterator<String> jobs = unreconciled.iterator(); jobs.hasNext(); ) {
            String job = jobs.next();
            JobProgress progress = byJob.get(job);
            if (progress == null) {
                jobs.remove();
            } else if (!progress.isWriteUnresolved(replica.revision())) {
                jobs.remove();
                progress.removeAllLaunches().forEach(this::releaseLaunch);
                removeIfOver(job);
            }
        }
    }

    private void removeIfOver(String id) {
        if (replica.activeJob(id) == null) {
            byJob.remove(id);
        }
    }
}
