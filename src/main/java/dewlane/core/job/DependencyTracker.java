package dewlane.core.job;

import dewlane.core.job.DependencyGraph.Result;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Priority;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.store.JobEntry;
import dewlane.core.store.JobResultReader;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.StoreReplica;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Feeds {@link DependencyGraph} from what is durable: which jobs each job awaits, and what became of those. A job that
 * is awaited and not in the replica is over, or its record is just missing from a listing; its final state is looked
 * up, and until that is known whoever awaits it stays pending.
 *
 * <p>A job that is awaited is treated as having the highest priority of any job that needs it, and as having to end
 * early enough for them: both change only when such a job comes or goes.
 */
public final class DependencyTracker {
    /** Reads of final states under way at once. */
    private static final int MOST_READS = 4;
    /** After a read that told nothing no other is begun for so long. */
    private static final long READ_PAUSE_MS = 500;
    /**
     * Seconds between the end of a job and the start of the next one: the write, the watch, the launch and the image.
     */
    private static final double STEP_S = 3;
    /** Awaited jobs that a log line names. */
    private static final int MOST_NAMED = 5;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final DependencyGraph release;
    private final JobResultReader reader;
    /** Awaited jobs of which neither a record nor a final state is known. */
    private final Set<String> unresolved = new LinkedHashSet<>();
    /** Those of them that a user's answer depends on. */
    private final Set<String> urgent = new LinkedHashSet<>();

    private final Set<String> reading = new HashSet<>();
    private long pausedUntil = Long.MIN_VALUE / 2;

    public DependencyTracker(
            ControllerContext context, StoreReplica replica, DependencyGraph release, JobResultReader reader) {
        this.context = context;
        this.replica = replica;
        this.release = release;
        this.reader = reader;
    }

    /** Follows the records and results of jobs. */
    public void onReplicaChange(ReplicaChange delta) {
        if (delta instanceof ReplicaChange.JobChanged d) {
            jobChanged(d);
        } else if (delta instanceof ReplicaChange.JobEnded d) {
            ended(d.job(), d.result());
        }
    }

    private void jobChanged(ReplicaChange.JobChanged d) {
        JobEntry job = d.job();
        if (d.after() == null) {
            recordRemoved(job.id());
            return;
        }
        if (d.before() == null) {
            added(job);
        }
        if (d.after().isCancelled()) {
            fail(job.id());
        }
    }

    private void added(JobEntry job) {
        unresolved.remove(job.id());
        List<String> awaits = job.job().dependencies();
        List<String> failed = release.add(job.id(), awaits);
        for (String id : release.dependents(job.id())) {
            JobEntry dependant = replica.activeJob(id);
            if (dependant != null) {
                inheritUrgency(job, dependant);
            }
        }
        for (String awaited : awaits) {
            JobEntry source = replica.activeJob(awaited);
            if (source != null) {
                inheritUrgency(source, job);
            } else {
                resolve(awaited);
            }
        }
        logFailed(failed, job.id());
        if (!awaits.isEmpty() && !release.isReady(job.id()) && !release.hasFailed(job.id())) {
            Collection<String> waitsFor = release.dependencies(job.id());
            logAsOwner(
                    job.id(),
                    "job " + job.id() + " waits for " + waitsFor.size() + " jobs: "
                            + waitsFor.stream().limit(MOST_NAMED).toList());
        }
    }

    private void resolve(String awaited) {
        JobResult result = replica.result(awaited);
        if (result != null) {
            ended(awaited, result);
        } else {
            unresolved.add(awaited);
        }
    }

    /** The vanishing of a record proves nothing by itself: the state may just be read anew. */
    private void recordRemoved(String id) {
        JobResult result = replica.result(id);
        if (result != null) {
            ended(id, result);
        } else if (!release.dependents(id).isEmpty() && !release.hasFailed(id)) {
            unresolved.add(id);
        }
        List<String> sources = List.copyOf(release.allDependencies(id));
        release.forget(id);
        sources.forEach(this::recomputeUrgency);
        sources.forEach(this::dropIfUnneeded);
    }

    private void dropIfUnneeded(String id) {
        if (release.dependents(id).isEmpty()) {
            unresolved.remove(id);
            urgent.remove(id);
        }
    }

    private void ended(String id, JobResult result) {
        unresolved.remove(id);
        urgent.remove(id);
        if (!release.isKnown(id) && release.dependents(id).isEmpty()) {
            return;
        }
        if (result.cancelled()) {
            fail(id);
            return;
        }
        for (String dependant : release.dependents(id)) {
            JobEntry entry = replica.activeJob(dependant);
            if (entry != null) {
                entry.dependencyEnded(result.endedAtMs());
            }
        }
        List<String> waiting = release.dependents(id).stream()
                .filter(dependant -> !release.isReady(dependant))
                .toList();
        release.finish(id, Result.DONE);
        for (String dependant : waiting) {
            if (release.isReady(dependant)) {
                logAsOwner(
                        dependant, "job " + dependant + " may start: " + id + " is done, the last one that it awaited");
            }
        }
    }

    private void fail(String id) {
        List<String> failed = release.finish(id, Result.FAILED);
        logFailed(failed, id);
        recomputeUrgencyOfDependencies(id);
        failed.forEach(this::recomputeUrgencyOfDependencies);
    }

    private void logFailed(List<String> failed, String through) {
        failed.forEach(job -> logAsOwner(job, "job " + job + " is cancelled through " + through));
    }

    /** All controllers see the same, so the one that also ends the job says it. */
    private void logAsOwner(String job, String text) {
        if (context.settings()
                .controllerName()
                .equals(Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(job)))) {
            context.info(text);
        }
    }

    /** A job that needs the source has come, or is expected to end earlier. */
    private void inheritUrgency(JobEntry source, JobEntry dependant) {
        if (release.hasFailed(dependant.id())) {
            return;
        }
        Priority priority = highest(source.priority(), dependant.priority());
        long deadline = Math.min(source.deadlineMs(), latestEnd(dependant));
        if (priority == source.priority() && deadline == source.deadlineMs()) {
            return;
        }
        source.inheritUrgency(priority, deadline);
        for (String id : release.dependencies(source.id())) {
            JobEntry before = replica.activeJob(id);
            if (before != null) {
                inheritUrgency(before, source);
            }
        }
    }

    private static Priority highest(Priority one, Priority other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** When whatever the job awaits has to end if the job is to keep its own time. */
    private static long latestEnd(JobEntry job) {
        return job.deadlineMs() == JobEntry.NO_DEADLINE
                ? JobEntry.NO_DEADLINE
                : job.deadlineMs() - (long) (1000 * (job.job().expectedRunS() + STEP_S));
    }

    private void recomputeUrgencyOfDependencies(String failedJob) {
        release.allDependencies(failedJob).forEach(this::recomputeUrgency);
    }

    /** One of the jobs that need the job has gone. */
    private void recomputeUrgency(String id) {
        JobEntry job = replica.activeJob(id);
        if (job == null) {
            return;
        }
        Priority priority = job.job().priority();
        long deadline = job.ownDeadlineMs();
        for (String destination : release.dependents(id)) {
            JobEntry dependant = replica.activeJob(destination);
            if (dependant != null && !release.hasFailed(destination)) {
                priority = highest(priority, dependant.priority());
                deadline = Math.min(deadline, latestEnd(dependant));
            }
        }
        if (priority != job.priority() || deadline != job.deadlineMs()) {
            job.inheritUrgency(priority, deadline);
            release.dependencies(id).forEach(this::recomputeUrgency);
        }
    }

    /** Looks up what became of awaited jobs, once the replica holds all that is known to be durable. */
    public void tick(boolean caughtUp) {
        if (!caughtUp || unresolved.isEmpty() || context.nowMs() < pausedUntil) {
            return;
        }
        urgent.retainAll(unresolved);
        Iterator<String> next = (urgent.isEmpty() ? unresolved : urgent).iterator();
        while (next.hasNext() && reading.size() < MOST_READS) {
            String id = next.next();
            if (replica.activeJob(id) != null || replica.isUnreadable(id)) {
                continue;
            }
            if (!reading.contains(id) && !reader.read(id, new LookUp(id))) {
                return;
            }
            reading.add(id);
        }
    }

    private final class LookUp implements JobResultReader.Listener {
        private final String id;

        LookUp(String id) {
            this.id = id;
        }

        @Override
        public void found(JobResult result) {
            // The replica has passed it on.
            reading.remove(id);
        }

        @Override
        public void absent() {
            reading.remove(id);
            pausedUntil = context.nowMs() + READ_PAUSE_MS;
            if (unresolved.contains(id) && replica.activeJob(id) == null) {
                context.info("job " + id + " is awaited, but neither its record nor its end is there");
            }
        }

        @Override
        public void unavailable() {
            reading.remove(id);
            pausedUntil = context.nowMs() + READ_PAUSE_MS;
        }
    }

    /**
     * True if it is known of all jobs that the job needs, directly or through others, whether they are cancelled. Else
     * they are looked up first.
     */
    public boolean isResolved(String job) {
        if (unresolved.isEmpty()) {
            return true;
        }
        boolean resolved = true;
        Set<String> seen = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(release.dependencies(job));
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (!seen.add(id)) {
                continue;
            }
            if (unresolved.contains(id) && replica.activeJob(id) == null) {
                urgent.add(id);
                resolved = false;
            }
            queue.addAll(release.dependencies(id));
        }
        return resolved;
    }

    /** True if the job is cancelled, by its own user or through a job that it needs. */
    public boolean isCancelled(JobEntry job) {
        return job.isCancelled() || release.hasFailed(job.id());
    }

    /** True if a job that awaits this one is there and its cancellation is not durable yet. */
    public boolean hasUncancelledDependents(String job) {
        for (String id : release.dependents(job)) {
            JobEntry dependant = replica.activeJob(id);
            if (dependant != null && !dependant.isCancelled()) {
                return true;
            }
        }
        return false;
    }
}
