package dewlane.core.store;

import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoredValue.JobRecord;
import java.util.Collection;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A job that has a record or slices in the store: what is stored of it, and its {@link JobUrgency}, which follows from
 * other jobs as well.
 */
public final class JobEntry {
    /** Stands for a job without a deadline of its own or of a dependent. */
    public static final long NO_DEADLINE = JobUrgency.NO_DEADLINE;

    private final String id;
    private final TreeMap<Integer, SliceEntry> slices = new TreeMap<>();
    private final JobUrgency urgency = new JobUrgency();
    private JobRecord record;
    private long revision;
    private Job.Requirements requirements;

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

    /** What a task of the job needs of a machine; only of a job that has a record. */
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

    /** Time of day at which the job was cancelled; 0 if it was not. */
    public long cancelledAtMs() {
        return record == null ? 0 : record.cancelledAtMs();
    }

    /** The revision of the record's latest change; 0 if there is no record. */
    public long revision() {
        return revision;
    }

    /** Takes another value of the record. */
    void store(JobRecord stored, long atRevision) {
        boolean isFirst = record == null;
        record = stored;
        revision = atRevision;
        requirements = stored.job().requirements();
        if (isFirst) {
            urgency.start(stored.job());
        }
    }

    /** The record is gone from the store. */
    void removeRecord() {
        record = null;
        revision = 0;
    }

    /** The highest priority of the job and of all jobs that depend on it, directly or through others. */
    public Priority priority() {
        return urgency.priority();
    }

    /**
     * Time of day by which the job should end: its own deadline, or an earlier one that leaves its dependents the time
     * they are estimated to take.
     */
    public long deadlineMs() {
        return urgency.deadlineMs();
    }

    /** Time of day from which the job's waiting counts: its acceptance, or the end of the last of its dependencies. */
    public long waitingSinceMs() {
        return urgency.waitingSinceMs();
    }

    /** Time of day of the job's own deadline, counted from its acceptance however long it awaits others. */
    public long ownDeadlineMs() {
        return JobUrgency.ownDeadlineMs(record.job());
    }

    /** Sets the priority and the deadline (time of day) that follow from the jobs that depend on this one. */
    public void inheritUrgency(Priority highest, long earliestDeadlineMs) {
        urgency.inherit(highest, earliestDeadlineMs);
    }

    /** The last job that this one awaited ended at the given time of day. */
    public void onDependencyEnded(long atMs) {
        urgency.dependencyEnded(atMs);
    }

    /** The slices that the job is cut into, in the order of their numbers. */
    public Collection<SliceEntry> slices() {
        return slices.values();
    }

    /** The slices by their numbers. */
    NavigableMap<Integer, SliceEntry> slicesByNumber() {
        return slices;
    }

    /** How many tasks are done. */
    public int doneCount() {
        int count = 0;
        for (SliceEntry slice : slices.values()) {
            count += slice.value().done().cardinality();
        }
        return count;
    }

    /** How many attempts may be on a machine. */
    public int liveAttemptCount() {
        int count = 0;
        for (SliceEntry slice : slices.values()) {
            count += slice.value().attempts().size();
        }
        return count;
    }

    /** How many tasks are neither done nor may be on a machine. */
    public int pendingCount() {
        int count = 0;
        for (SliceEntry slice : slices.values()) {
            count += slice.value().pendingCount();
        }
        return count;
    }

    /** True if every task has a done mark. */
    public boolean isComplete() {
        return record != null && doneCount() == record.job().tasks();
    }

    /** A number that no slice of the job has had, since slices are deleted only with their job. */
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
            int laterFirst = later.stored().first();
            if (laterFirst >= first && laterFirst < first + count) {
                count = laterFirst - first;
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
