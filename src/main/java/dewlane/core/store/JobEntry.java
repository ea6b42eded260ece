package dewlane.core.store;

import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoredValue.JobRecord;
import java.util.Collection;
import java.util.TreeMap;

/** A job that has a record or slices in the state service, with what follows from the jobs that need it. */
public final class JobEntry {
    /** Stands for a job without a deadline of its own or of a dependant. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    private final String id;
    private final TreeMap<Integer, SliceEntry> slices = new TreeMap<>();
    private JobRecord record;
    private long revision;
    private Job.Requirements requirements;
    private Priority priority;
    private long deadlineMs = NO_DEADLINE;
    private long waitingSinceMs;

    JobEntry(String id) {
        this.id = id;
    }

    /** The job's id. */
    public String id() {
        return id;
    }

    /** Null only for the moment between two changes of a listing, or once only slices of an ended job are left. */
    public Job job() {
        return record == null ? null : record.job();
    }

    /** The job's shape; only of a job that has a record. */
    public Job.Requirements requirements() {
        return requirements;
    }

    /** True if the job was cancelled by its own user, or a cancellation that passed down to it is durable. */
    public boolean isCancelled() {
        return record != null && record.isCancelled();
    }

    /** The job's record, or null if it has none any more. */
    public JobRecord record() {
        return record;
    }

    /** When the job was cancelled; 0: it was not. */
    public long cancelledAtMs() {
        return record == null ? 0 : record.cancelledAtMs();
    }

    /** The revision of the latest change. */
    public long revision() {
        return revision;
    }

    /** The highest priority of the job and of all jobs that need it, directly or through others. */
    public Priority priority() {
        return priority;
    }

    /**
     * Time of day by which the job should end: its own deadline, or an earlier one that leaves the jobs that need it
     * the time they are estimated to take.
     */
    public long deadlineMs() {
        return deadlineMs;
    }

    /** Time of day from which the job's waiting counts: its acceptance, or the end of the last job that it awaited. */
    public long waitingSinceMs() {
        return waitingSinceMs;
    }

    /** Time of day of the job's own deadline, counted from its submission however long it awaits others. */
    public long ownDeadlineMs() {
        Job job = record.job();
        return job.deadlineS() > 0 ? job.acceptedAtMs() + (long) (1000 * job.deadlineS()) : NO_DEADLINE;
    }

    /** Sets the priority and deadline that follow from the jobs that depend on this one. */
    public void inheritUrgency(Priority highest, long earliestDeadlineMs) {
        priority = highest;
        deadlineMs = earliestDeadlineMs;
    }

    /** The last job that this one awaited ended at the given time of day. */
    public void dependencyEnded(long atMs) {
        waitingSinceMs = Math.max(waitingSinceMs, atMs);
    }

    void store(JobRecord stored, long at) {
        boolean first = record == null;
        record = stored;
        revision = at;
        requirements = stored.job().requirements();
        if (first) {
            inheritUrgency(stored.job().priority(), ownDeadlineMs());
            waitingSinceMs = stored.job().acceptedAtMs();
        }
    }

    void removeRecord() {
        record = null;
        revision = 0;
    }

    /** The slices that the job is cut into. */
    public Collection<SliceEntry> slices() {
        return slices.values();
    }

    TreeMap<Integer, SliceEntry> slicesByNumber() {
        return slices;
    }

    /** How many tasks are done. */
    public int doneCount() {
        int n = 0;
        for (SliceEntry slice : slices.values()) {
            n += slice.value().done().cardinality();
        }
        return n;
    }

    /** How many attempts may be on a machine. */
    public int liveAttemptCount() {
        int n = 0;
        for (SliceEntry slice : slices.values()) {
            n += slice.value().attempts().size();
        }
        return n;
    }

    /** Tasks that are neither done nor may be on a machine. */
    public int pendingCount() {
        int n = 0;
        for (SliceEntry slice : slices.values()) {
            n += slice.value().pendingCount();
        }
        return n;
    }

    /** True if every task has a done mark. */
    public boolean isComplete() {
        return record != null && doneCount() == record.job().tasks();
    }

    /** A number that no slice of the job has had, since slices go only with their job. */
    public int nextSliceNumber() {
        return slices.isEmpty() ? 0 : slices.lastKey() + 1;
    }

    /**
     * How many of its first tasks a slice still holds. One that is too large to be written in one piece is cut by
     * slices with higher numbers, which take over its last tasks group by group: a task is always in the slice with the
     * highest number that holds it.
     */
    int remainingCount(SliceEntry slice) {
        int first = slice.stored().first();
        int count = slice.stored().count();
        for (SliceEntry later : slices.tailMap(slice.number(), false).values()) {
            int from = later.stored().first();
            if (from >= first && from < first + count) {
                count = from - first;
            }
        }
        return count;
    }

    /** The slice that holds a task, or null. */
    public SliceEntry sliceOf(int task) {
        for (SliceEntry slice : slices.values()) {
            if (task >= slice.value().first()
                    && task < slice.value().first() + slice.value().count()) {
                return slice;
            }
        }
        return null;
    }
}
