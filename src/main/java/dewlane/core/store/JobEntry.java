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

    public final String id;
    private final TreeMap<Integer, SliceEntry> slices = new TreeMap<>();
    private JobRecord record;
    private long version;
    private Job.Requirements shape;
    private Priority priority;
    private long deadlineMs = NO_DEADLINE;
    private long waitsSinceMs;

    JobEntry(String id) {
        this.id = id;
    }

    /** Null only for the moment between two changes of a listing, or once only slices of an ended job are left. */
    public Job job() {
        return record == null ? null : record.job();
    }

    /** The job's shape; only of a job that has a record. */
    public Job.Requirements shape() {
        return shape;
    }

    /** True if the job was cancelled by its own user, or a cancellation that passed down to it is durable. */
    public boolean aborted() {
        return record != null && record.aborted();
    }

    /** The job's record, or null if it has none any more. */
    public JobRecord record() {
        return record;
    }

    /** When the job was cancelled; 0: it was not. */
    public long abortedMs() {
        return record == null ? 0 : record.abortedMs();
    }

    /** The revision of the latest change. */
    public long version() {
        return version;
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
    public long waitsSinceMs() {
        return waitsSinceMs;
    }

    /** Time of day of the job's own deadline, counted from its submission however long it awaits others. */
    public long ownDeadlineMs() {
        Job job = record.job();
        return job.deadlineS() > 0 ? job.acceptedMs() + (long) (1000 * job.deadlineS()) : NO_DEADLINE;
    }

    public void expect(Priority highest, long earliestDeadlineMs) {
        priority = highest;
        deadlineMs = earliestDeadlineMs;
    }

    /** The last job that this one awaited ended at the given time of day. */
    public void released(long atMs) {
        waitsSinceMs = Math.max(waitsSinceMs, atMs);
    }

    void store(JobRecord stored, long at) {
        boolean first = record == null;
        record = stored;
        version = at;
        shape = stored.job().shape();
        if (first) {
            expect(stored.job().priority(), ownDeadlineMs());
            waitsSinceMs = stored.job().acceptedMs();
        }
    }

    void removeRecord() {
        record = null;
        version = 0;
    }

    /** The slices that the job is cut into. */
    public Collection<SliceEntry> slices() {
        return slices.values();
    }

    TreeMap<Integer, SliceEntry> slicesByNumber() {
        return slices;
    }

    /** How many tasks are done. */
    public int done() {
        int n = 0;
        for (SliceEntry s : slices.values()) {
            n += s.value().done().cardinality();
        }
        return n;
    }

    /** How many attempts may be on a machine. */
    public int live() {
        int n = 0;
        for (SliceEntry s : slices.values()) {
            n += s.value().attempts().size();
        }
        return n;
    }

    /** Tasks that are neither done nor may be on a machine. */
    public int waiting() {
        int n = 0;
        for (SliceEntry s : slices.values()) {
            n += s.value().waiting();
        }
        return n;
    }

    /** True if every task has a done mark. */
    public boolean complete() {
        return record != null && done() == record.job().tasks();
    }

    /** A number that no slice of the job has had, since slices go only with their job. */
    public int nextSlice() {
        return slices.isEmpty() ? 0 : slices.lastKey() + 1;
    }

    /** The slice that holds a task, or null. */
    public SliceEntry sliceOf(int task) {
        for (SliceEntry s : slices.values()) {
            if (task >= s.value().first()
                    && task < s.value().first() + s.value().count()) {
                return s;
            }
        }
        return null;
    }
}
