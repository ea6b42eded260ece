package dewlane.core.store;

import dewlane.core.model.Job;
import dewlane.core.model.Priority;
import dewlane.core.schema.StoredValue.JobRecord;
import java.util.Collection;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A job that has a record or slices in the store: its stored values, and its {@link JobUrgency}, which also depends on
 * other jobs.
 */
public final class JobEntry {
    /** The deadline of a job if neither it nor any job that depends on it has a deadline. */
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

    /** Returns the job's id. */
    public String id() {
        return id;
    }

    /**
     * Returns the job, or null if the replica has no record of it: while a listing is being loaded, once only slices of
     * an ended job are left, or if the record cannot be read.
     */
    public Job job() {
        return record == null ? null : record.job();
    }

    /** Returns what a task of the job requires of a machine. Call this only if the job has a record. */
    public Job.Requirements requirements() {
        return requirements;
    }

    /**
     * Returns true if the store holds a cancellation of the job, which its user requested or which follows from the
     * cancellation of a dependency.
     */
    public boolean isCancelled() {
        return record != null && record.isCancelled();
    }

    /** Returns the job's record, or null if there is none. */
    public JobRecord record() {
        return record;
    }

    /** Returns the wall-clock time at which the job was cancelled; 0 if it was not. */
    public long cancelledAtMs() {
        return record == null ? 0 : record.cancelledAtMs();
    }

    /** Returns the revision of the record's latest change; 0 if there is no record. */
    public long revision() {
        return revision;
    }

    /** Sets the record to a value read from the store. */
    void setRecord(JobRecord newRecord, long newRevision) {
        boolean isFirst = record == null;
        record = newRecord;
        revision = newRevision;
        requirements = newRecord.job().requirements();
        if (isFirst) {
            urgency.initialize(newRecord.job());
        }
    }

    /** Removes the record, which was deleted from the store. */
    void removeRecord() {
        record = null;
        revision = 0;
    }

    /** Returns the highest priority of the job and of all jobs that depend on it, directly or transitively. */
    public Priority priority() {
        return urgency.priority();
    }

    /**
     * Returns the wall-clock time by which the job should end: its own deadline, or an earlier one that leaves the jobs
     * that depend on it their estimated run time.
     */
    public long deadlineMs() {
        return urgency.deadlineMs();
    }

    /**
     * Returns the wall-clock time from which the job's waiting time counts: its acceptance or, if later, the end of the
     * last of its dependencies.
     */
    public long waitingSinceMs() {
        return urgency.waitingSinceMs();
    }

    /**
     * Returns the wall-clock time of the job's own deadline. It counts from the job's acceptance, however long the job
     * waits for dependencies.
     */
    public long ownDeadlineMs() {
        return JobUrgency.ownDeadlineMs(record.job());
    }

    /**
     * Sets the priority and the deadline that result from the job's own ones and those of the jobs that depend on it.
     *
     * @param earliestDeadlineMs wall-clock time
     */
    public void inheritUrgency(Priority highest, long earliestDeadlineMs) {
        urgency.inherit(highest, earliestDeadlineMs);
    }

    /** Called when a dependency of the job has ended at the given wall-clock time. */
    public void onDependencyEnded(long atMs) {
        urgency.onDependencyEnded(atMs);
    }

    /** Returns the job's slices in the order of their numbers. */
    public Collection<SliceEntry> slices() {
        return slices.values();
    }

    /** Returns the slices by their numbers; changes of the map change the job. */
    NavigableMap<Integer, SliceEntry> slicesByNumber() {
        return slices;
    }

    /** Returns the number of tasks that are done. */
    public int doneCount() {
        int count = 0;
        for (SliceEntry slice : slices.values()) {
            count += slice.value().done().cardinality();
        }
        return count;
    }

    /** Returns the number of attempts that may be on a machine. */
    public int liveAttemptCount() {
        int count = 0;
        for (SliceEntry slice : slices.values()) {
            count += slice.value().attempts().size();
        }
        return count;
    }

    /** Returns the number of tasks that are not done and cannot be on a machine. */
    public int pendingCount() {
        int count = 0;
        for (SliceEntry slice : slices.values()) {
            count += slice.value().pendingCount();
        }
        return count;
    }

    /** Returns true if every task is done. */
    public boolean isComplete() {
        return record != null && doneCount() == record.job().tasks();
    }

    /** Returns a number that no slice of the job has had, as slices are deleted only with their job. */
    public int nextSliceNumber() {
        return slices.isEmpty() ? 0 : slices.lastKey() + 1;
    }

    /**
     * Returns how many of its first tasks a slice still contains. A slice that is too large to be split by one
     * transaction is split step by step: new slices with higher numbers take over its last tasks, while its stored
     * value stays as it is. A task therefore belongs to the slice with the highest number that covers it.
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

    /** Returns the slice that contains a task, or null if there is none. */
    public SliceEntry sliceContaining(int task) {
        for (SliceEntry slice : slices.values()) {
            if (task >= slice.value().first()
                    && task < slice.value().first() + slice.value().count()) {
                return slice;
            }
        }
        return null;
    }
}
