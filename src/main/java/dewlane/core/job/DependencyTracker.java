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

    public void follow(ReplicaChange delta) {
        if (delta instanceof ReplicaChange.JobChanged d) {
            jobChanged(d);
        } else if (delta instanceof ReplicaChange.JobEnded d) {
            ended(d.job(), d.result());
        }
    }

    private void jobChanged(ReplicaChange.JobChanged d) {
        JobEntry job = d.job();
        if (d.after() == null) {
            gone(job.id);
            return;
        }
        if (d.before() == null) {
            added(job);
        }
        if (d.after().aborted()) {
            fail(job.id);
        }
    }

    private void added(JobEntry job) {
        unresolved.remove(job.id);
        List<String> awaits = job.job().awaits();
        List<String> failed = release.add(job.id, awaits);
        for (String id : release.destinations(job.id)) {
            JobEntry dependant = replica.recorded(id);
            if (dependant != null) {
                expect(job, dependant);
            }
        }
        for (String awaited : awaits) {
            JobEntry source = replica.recorded(awaited);
            if (source != null) {
                expect(source, job);
            } else {
                learn(awaited);
            }
        }
        logFailed(failed, job.id);
        if (!awaits.isEmpty() && !release.isReady(job.id) && !release.hasFailed(job.id)) {
            Collection<String> waitsFor = release.sources(job.id);
            say(
                    job.id,
                    "job " + job.id + " waits for " + waitsFor.size() + " jobs: "
                            + waitsFor.stream().limit(MOST_NAMED).toList());
        }
    }

    private void learn(String awaited) {
        JobResult result = replica.fin(awaited);
        if (result != null) {
            ended(awaited, result);
        } else {
            unresolved.add(awaited);
        }
    }

    /** The vanishing of a record proves nothing by itself: the state may just be read anew. */
    private void gone(String id) {
        JobResult result = replica.fin(id);
        if (result != null) {
            ended(id, result);
        } else if (!release.destinations(id).isEmpty() && !release.hasFailed(id)) {
            unresolved.add(id);
        }
        List<String> sources = List.copyOf(release.allSources(id));
        release.forget(id);
        sources.forEach(this::expectAnew);
        sources.forEach(this::dropIfUnneeded);
    }

    private void dropIfUnneeded(String id) {
        if (release.destinations(id).isEmpty()) {
            unresolved.remove(id);
            urgent.remove(id);
        }
    }

    private void ended(String id, JobResult result) {
        unresolved.remove(id);
        urgent.remove(id);
        if (!release.isKnown(id) && release.destinations(id).isEmpty()) {
            return;
        }
        if (result.aborted()) {
            fail(id);
            return;
        }
        for (String dependant : release.destinations(id)) {
            JobEntry entry = replica.recorded(dependant);
            if (entry != null) {
                entry.released(result.atMs());
            }
        }
        List<String> waiting = release.destinations(id).stream()
                .filter(dependant -> !release.isReady(dependant))
                .toList();
        release.finish(id, Result.DONE);
        for (String dependant : waiting) {
            if (release.isReady(dependant)) {
                say(dependant, "job " + dependant + " may start: " + id + " is done, the last one that it awaited");
            }
        }
    }

    private void fail(String id) {
        List<String> failed = release.finish(id, Result.FAILED);
        logFailed(failed, id);
        expectAnewOf(id);
        failed.forEach(this::expectAnewOf);
    }

    private void logFailed(List<String> failed, String through) {
        failed.forEach(job -> say(job, "job " + job + " is cancelled through " + through));
    }

    /** All controllers see the same, so the one that also ends the job says it. */
    private void say(String job, String text) {
        if (context.settings().node().equals(Partitioner.owner(replica.map(), StoreKeys.job(job)))) {
            context.info(text);
        }
    }

    /** A job that needs the source has come, or is expected to end earlier. */
    private void expect(JobEntry source, JobEntry dependant) {
        if (release.hasFailed(dependant.id)) {
            return;
        }
        Priority priority = highest(source.priority(), dependant.priority());
        long deadline = Math.min(source.deadlineMs(), latestEnd(dependant));
        if (priority == source.priority() && deadline == source.deadlineMs()) {
            return;
        }
        source.expect(priority, deadline);
        for (String id : release.sources(source.id)) {
            JobEntry before = replica.recorded(id);
            if (before != null) {
                expect(before, source);
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
                : job.deadlineMs() - (long) (1000 * (job.job().estimateS() + STEP_S));
    }

    private void expectAnewOf(String failedJob) {
        release.allSources(failedJob).forEach(this::expectAnew);
    }

    /** One of the jobs that need the job has gone. */
    private void expectAnew(String id) {
        JobEntry job = replica.recorded(id);
        if (job == null) {
            return;
        }
        Priority priority = job.job().priority();
        long deadline = job.ownDeadlineMs();
        for (String destination : release.destinations(id)) {
            JobEntry dependant = replica.recorded(destination);
            if (dependant != null && !release.hasFailed(destination)) {
                priority = highest(priority, dependant.priority());
                deadline = Math.min(deadline, latestEnd(dependant));
            }
        }
        if (priority != job.priority() || deadline != job.deadlineMs()) {
            job.expect(priority, deadline);
            release.sources(id).forEach(this::expectAnew);
        }
    }

    /** Looks up what became of awaited jobs, once the replica holds all that is known to be durable. */
    public void tick(boolean caughtUp) {
        if (!caughtUp || unresolved.isEmpty() || context.now() < pausedUntil) {
            return;
        }
        urgent.retainAll(unresolved);
        Iterator<String> next = (urgent.isEmpty() ? unresolved : urgent).iterator();
        while (next.hasNext() && reading.size() < MOST_READS) {
            String id = next.next();
            if (replica.recorded(id) != null || replica.isHeld(id)) {
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
            pausedUntil = context.now() + READ_PAUSE_MS;
            if (unresolved.contains(id) && replica.recorded(id) == null) {
                context.info("job " + id + " is awaited, but neither its record nor its end is there");
            }
        }

        @Override
        public void noAnswer() {
            reading.remove(id);
            pausedUntil = context.now() + READ_PAUSE_MS;
        }
    }

    /**
     * True if it is known of all jobs that the job needs, directly or through others, whether they are cancelled. Else
     * they are looked up first.
     */
    public boolean resolved(String job) {
        if (unresolved.isEmpty()) {
            return true;
        }
        boolean resolved = true;
        Set<String> seen = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(release.sources(job));
        while (!queue.isEmpty()) {
            String id = queue.poll();
            if (!seen.add(id)) {
                continue;
            }
            if (unresolved.contains(id) && replica.recorded(id) == null) {
                urgent.add(id);
                resolved = false;
            }
            queue.addAll(release.sources(id));
        }
        return resolved;
    }

    /** True if the job is cancelled, by its own user or through a job that it needs. */
    public boolean cancelled(JobEntry job) {
        return job.aborted() || release.hasFailed(job.id);
    }

    /** True if a job that awaits this one is there and its cancellation is not durable yet. */
    public boolean hasUnmarkedDependants(String job) {
        for (String id : release.destinations(job)) {
            JobEntry dependant = replica.recorded(id);
            if (dependant != null && !dependant.aborted()) {
                return true;
            }
        }
        return false;
    }
}
