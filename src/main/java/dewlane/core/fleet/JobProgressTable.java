package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
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
    private final Map<String, JobProgress> byJob = new HashMap<>();
    /** Jobs with launches that the replica does not show yet, and jobs that are over. */
    private final Set<String> settling = new LinkedHashSet<>();

    JobProgressTable(ControllerContext context, StoreReplica replica, TeamUsage teamUsage) {
        this.context = context;
        this.replica = replica;
        this.teamUsage = teamUsage;
    }

    /** What is being done for the job. */
    public JobProgress getOrCreate(String job) {
        return byJob.computeIfAbsent(job, j -> new JobProgress());
    }

    /** What is being done for the job, or null if that was nothing so far. */
    public JobProgress get(String job) {
        return byJob.get(job);
    }

    /** A launch was decided. */
    public void launchDecided(String job, JobProgress.Launch launch) {
        getOrCreate(job).launchesInFlight.add(launch);
        settling.add(job);
        launch.machine().usage().add(launch.spec());
        teamUsage.add(launch.spec(), context.settings().controllerName(), 1);
    }

    /** The replica shows a slice, null if it is gone: launches up to its latest are counted from there. */
    void sliceObserved(String job, int slice, Slice after) {
        JobProgress progress = byJob.get(job);
        if (progress == null || after == null || progress.launchesInFlight.isEmpty()) {
            return;
        }
        progress.launchesInFlight.removeIf(launch -> {
            boolean seen = launch.slice() == slice
                    && after.launchCount() >= launch.attempt().number();
            if (seen) {
                releaseLaunch(launch);
            }
            return seen;
        });
    }

    /** The job has no record any more. */
    void jobEnded(String job) {
        if (byJob.containsKey(job)) {
            settling.add(job);
        }
    }

    private void releaseLaunch(JobProgress.Launch launch) {
        launch.machine().usage().remove(launch.spec());
        teamUsage.add(launch.spec(), context.settings().controllerName(), -1);
        launch.machine().markIdleIfEmpty(context.nowMs());
    }

    /** Counts the launches that the replica does not show for this controller, after owners were counted anew. */
    void recountLaunches() {
        String self = context.settings().controllerName();
        byJob.values()
                .forEach(progress -> progress.launchesInFlight.forEach(l -> teamUsage.addToOwner(l.spec(), self, 1)));
    }

    /**
     * Takes back what was counted for launches whose write was refused: once the answer is in and the replica has
     * reached it, whatever it does not show by then was not launched.
     */
    public void reconcile() {
        for (Iterator<String> i = settling.iterator(); i.hasNext(); ) {
            String id = i.next();
            JobProgress progress = byJob.get(id);
            if (progress != null && progress.isBusy(replica.revision(), Long.MAX_VALUE)) {
                continue;
            }
            i.remove();
            if (progress != null) {
                progress.launchesInFlight.forEach(this::releaseLaunch);
                progress.launchesInFlight.clear();
                JobEntry job = replica.job(id);
                if (job == null || job.job() == null) {
                    byJob.remove(id);
                }
            }
        }
    }
}
