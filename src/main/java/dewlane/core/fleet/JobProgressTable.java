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
 * Tracks the work of this controller on each job. A launch counts as usage of its machine and its team from the moment
 * it is decided, until the replica shows it or it turns out that it was not written.
 */
public final class JobProgressTable {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final TeamUsage teamUsage;
    private final String self;
    private final Map<String, JobProgress> byJob = new HashMap<>();
    /** Jobs with launches that the replica does not show yet, and jobs without a record any more. */
    private final Set<String> unreconciled = new LinkedHashSet<>();

    JobProgressTable(ControllerContext context, StoreReplica replica, TeamUsage teamUsage) {
        this.context = context;
        this.replica = replica;
        this.teamUsage = teamUsage;
        this.self = context.settings().controllerName();
    }

    /** Returns the progress of the job, adding an empty one if there is none. */
    public JobProgress getOrCreate(String job) {
        return byJob.computeIfAbsent(job, id -> new JobProgress());
    }

    /** Returns the progress of the job, or null if nothing was done for it so far. */
    public JobProgress get(String job) {
        return byJob.get(job);
    }

    /** Called when a launch was decided. */
    public void onLaunchDecided(String job, JobProgress.Launch launch) {
        getOrCreate(job).addLaunch(launch);
        unreconciled.add(job);
        launch.machine().load().addUnwrittenLaunch(launch.spec());
        teamUsage.add(launch.spec(), self, 1);
    }

    /**
     * Called when the replica shows a new value of a slice, which is null if the slice was removed. Launches that the
     * slice contains are counted from the replica from now on.
     */
    void onSliceObserved(String job, int sliceNumber, Slice slice) {
        JobProgress progress = byJob.get(job);
        if (progress != null && slice != null) {
            progress.removeLaunchesShownIn(sliceNumber, slice).forEach(this::releaseLaunch);
        }
    }

    /** Called when the replica no longer contains the attempt: its outcome is durable. */
    void onAttemptRemoved(AttemptId attempt) {
        JobProgress progress = byJob.get(attempt.job());
        if (progress != null) {
            progress.removeOutcome(attempt);
        }
    }

    /** Called when the job's record was removed. */
    void onJobRemoved(String job) {
        if (byJob.containsKey(job)) {
            unreconciled.add(job);
        }
    }

    /** Removes the usage that was counted for a launch when it was decided. */
    private void releaseLaunch(JobProgress.Launch launch) {
        launch.machine().load().removeUnwrittenLaunch(launch.spec());
        teamUsage.add(launch.spec(), self, -1);
        launch.machine().load().markIdleIfEmpty(context.nowMs());
    }

    /** Adds the launches in flight to this controller's usage, after the usage of all owners was reset. */
    void recountLaunches() {
        for (JobProgress progress : byJob.values()) {
            progress.launchesInFlight().forEach(launch -> teamUsage.addToOwner(launch.spec(), self, 1));
        }
    }

    /**
     * Removes the usage counted for launches whose write failed. Once the write is answered and the replica has reached
     * the revision of the answer, launches that it does not show were not written.
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
                removeIfEnded(job);
            }
        }
    }

    private void removeIfEnded(String id) {
        if (replica.activeJob(id) == null) {
            byJob.remove(id);
        }
    }
}
