package dewlane.core.job;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;

/**
 * Estimates the memory that the stored jobs take on each controller, and decides whether there is room for another one.
 * Every controller holds all jobs that have not ended, and must be able to read them back from the store after a
 * restart; a job that was accepted is never dropped. The limit is the same on all controllers, whatever their heap, as
 * each of them has to hold what any of them has accepted.
 *
 * <p>The heap in deploy/service.toml has as much room again, for what the estimate leaves out: machines, cached
 * results, the page of a listing or the changes that are being read, and slices and attempts that are added after a job
 * was accepted, which the number of machines bounds.
 *
 * <p>The estimate is recounted from the replica once a second. Jobs that were accepted by other controllers and are not
 * in the replica yet are not included; the store's write rate bounds their number.
 */
public final class JobMemory {
    /**
     * The estimate up to which jobs are accepted. It fits into the heap of deploy/service.toml while a listing is read.
     */
    public static final long MAX_BYTES = 64L * 1024 * 1024;

    /** A job's record, its entries in tables and in the dependency graph, and its state in the scheduler. */
    static final int BYTES_PER_JOB = 1000;
    /** A slice with its key and its entries in tables. */
    static final int BYTES_PER_SLICE = 400;
    /** An attempt with its entries in the tables of its machine. */
    static final int BYTES_PER_ATTEMPT = 300;
    /** An edge of the dependency graph. The id of the dependency in the record is counted as it is encoded. */
    static final int BYTES_PER_DEPENDENCY = 6;
    /** A job that has ended, or whose record was not read yet, and that another job names as a dependency. */
    static final int BYTES_PER_NAMED_JOB = 400;
    /** The name of an allowed machine type, without its characters. */
    private static final int BYTES_PER_NAME = 48;

    private static final int TASKS_PER_BYTE = 8;
    private static final long LOG_INTERVAL_MS = 10_000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final DependencyGraph graph;
    private final ControllerCounters counters;
    /** The estimate for the jobs in the replica at the last count. */
    private long countedBytes;
    /** The estimate for the jobs admitted before the last count, which the replica may not have shown at that time. */
    private long admittedBeforeCountBytes;

    private long admittedSinceCountBytes;
    private long loggedAtMs = ControllerContext.NEVER_MS;

    /** Creates an estimate for the jobs in the replica and in the graph. */
    public JobMemory(
            ControllerContext context, StoreReplica replica, DependencyGraph graph, ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.graph = graph;
        this.counters = counters;
    }

    /** Recounts the jobs in the replica. Called about once a second. */
    public void recount() {
        long bytes = 0;
        int records = 0;
        for (JobEntry job : replica.jobs()) {
            for (SliceEntry slice : job.slices()) {
                bytes += BYTES_PER_SLICE
                        + (long) BYTES_PER_ATTEMPT * slice.value().attempts().size();
            }
            if (job.record() != null) {
                bytes += recordBytes(job.record());
                records++;
            }
        }
        countedBytes = bytes + (long) BYTES_PER_NAMED_JOB * Math.max(0, graph.jobCount() - records);
        admittedBeforeCountBytes = admittedSinceCountBytes;
        admittedSinceCountBytes = 0;
    }

    /** Returns the estimate for a new job. The jobs that it depends on are counted already. */
    private static long newJobBytes(JobRecord record) {
        return recordBytes(record)
                + (long) BYTES_PER_SLICE * Math.max(1, record.assignments().size());
    }

    private static long recordBytes(JobRecord record) {
        Job job = record.job();
        long bytes = BYTES_PER_JOB + (long) job.tasks() / TASKS_PER_BYTE;
        bytes += textBytes(job.id()) + textBytes(job.jobClass()) + textBytes(job.team()) + textBytes(job.image());
        for (String type : job.types()) {
            bytes += BYTES_PER_NAME + textBytes(type);
        }
        return bytes
                + job.dependencies().encodedLength()
                + (long) BYTES_PER_DEPENDENCY * job.dependencies().size();
    }

    private static long textBytes(String text) {
        return (long) Character.BYTES * text.length();
    }

    /** Returns the estimate for the stored jobs and those that were admitted and may not be in the replica yet. */
    public long usedBytes() {
        return countedBytes + admittedBeforeCountBytes + admittedSinceCountBytes;
    }

    /**
     * Returns true if there is room for a new job. A refusal is counted and logged; the user is to try again later,
     * once other jobs have ended.
     */
    public boolean hasRoomFor(JobRecord record) {
        long bytes = newJobBytes(record);
        if (usedBytes() + bytes <= MAX_BYTES) {
            return true;
        }
        counters.increment(Counter.SUBMISSIONS_REFUSED_FOR_MEMORY);
        logRefusal(record.job(), bytes);
        return false;
    }

    /** Called when a new job is about to be written. */
    public void onAdmitted(JobRecord record) {
        admittedSinceCountBytes += newJobBytes(record);
    }

    private void logRefusal(Job job, long bytes) {
        if (context.nowMs() - loggedAtMs >= LOG_INTERVAL_MS) {
            loggedAtMs = context.nowMs();
            context.info("job " + job.id() + " is refused: it would take about " + bytes
                    + " bytes of memory on each controller, the stored jobs take " + usedBytes() + " of " + MAX_BYTES);
        }
    }
}
