package dewlane.core.store;

import dewlane.core.message.Input.KeyChange;
import dewlane.core.schema.StoreKey;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.StoredValue.SliceAssignment;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The part of the replica that holds jobs and their slices, and applies the changes of their keys. */
final class JobTable {
    private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
    /** Jobs that have no record any more but still have slices. */
    private final Set<JobEntry> endedJobsWithSlices = new LinkedHashSet<>();

    private final UnreadableKeys unreadableKeys = new UnreadableKeys();
    private final Consumer<ReplicaChange> listener;

    JobTable(Consumer<ReplicaChange> listener) {
        this.listener = listener;
    }

    /** Removes all jobs, and reports each slice and each record to the listener as deleted. */
    void clear() {
        for (JobEntry job : List.copyOf(jobs.values())) {
            for (SliceEntry slice : List.copyOf(job.slices())) {
                listener.accept(new ReplicaChange.SliceChanged(job, slice, slice.value(), null));
            }
            removeRecord(job);
        }
        jobs.clear();
        endedJobsWithSlices.clear();
        unreadableKeys.clear();
    }

    Collection<JobEntry> all() {
        return jobs.values();
    }

    /** Returns the job, or null if it has neither a record nor slices. */
    JobEntry get(String id) {
        return jobs.get(id);
    }

    /** Returns the value of a job's or slice's key, or null if there is none. */
    StoredValue value(StoreKey key) {
        if (key instanceof StoreKey.OfSlice slice) {
            JobEntry job = jobs.get(slice.job());
            SliceEntry entry = job == null ? null : job.slicesByNumber().get(slice.number());
            return entry == null ? null : entry.stored();
        }
        JobEntry job = key instanceof StoreKey.OfJob record ? jobs.get(record.job()) : null;
        return job == null ? null : job.record();
    }

    Collection<JobEntry> endedJobsWithSlices() {
        return endedJobsWithSlices;
    }

    UnreadableKeys unreadableKeys() {
        return unreadableKeys;
    }

    /** Applies a change of a job's record. */
    void applyJob(String id, KeyChange change) {
        unreadableKeys.markReadable(id, change.key());
        if (change.value() != null) {
            storeRecord(getOrCreate(id), (JobRecord) change.value(), change.revision());
            return;
        }
        JobEntry job = jobs.get(id);
        if (job != null && job.revision() < change.revision()) {
            removeRecord(job);
            job.slices().removeIf(slice -> slice.revision() == 0);
            updateIfEnded(job);
        }
    }

    /** Applies a change of a slice. */
    void applySlice(StoreKey.OfSlice key, KeyChange change) {
        unreadableKeys.markReadable(key.job(), change.key());
        if (change.value() != null) {
            JobEntry job = getOrCreate(key.job());
            storeSlice(job, key.number(), (Slice) change.value(), change.revision());
            updateIfEnded(job);
            return;
        }
        JobEntry job = jobs.get(key.job());
        if (job != null) {
            removeSlice(job, key.number(), change.revision());
            updateIfEnded(job);
        }
    }

    private JobEntry getOrCreate(String id) {
        return jobs.computeIfAbsent(id, JobEntry::new);
    }

    private void storeRecord(JobEntry job, JobRecord record, long revision) {
        if (revision < job.revision()) {
            return;
        }
        JobRecord before = job.record();
        job.setRecord(record, revision);
        endedJobsWithSlices.remove(job);
        listener.accept(new ReplicaChange.JobChanged(job, before, record));
        if (before == null) {
            createAssignedSlices(job);
        }
    }

    private void removeRecord(JobEntry job) {
        JobRecord before = job.record();
        job.removeRecord();
        if (before != null) {
            listener.accept(new ReplicaChange.JobChanged(job, before, null));
        }
    }

    /**
     * Creates the slices that have no key yet, at revision 0, with the contents that the job's record assigns to them.
     */
    private void createAssignedSlices(JobEntry job) {
        List<SliceAssignment> assignments = job.record().assignments();
        for (int number = 0; number < assignments.size(); number++) {
            if (!job.slicesByNumber().containsKey(number)) {
                SliceEntry slice = new SliceEntry(job.id(), number);
                slice.setStored(assignments.get(number).slice(), 0);
                job.slicesByNumber().put(number, slice);
                slice.restrictTo(job.remainingCount(slice));
            }
        }
    }

    private void storeSlice(JobEntry job, int number, Slice value, long revision) {
        SliceEntry slice = job.slicesByNumber().computeIfAbsent(number, absent -> new SliceEntry(job.id(), absent));
        if (revision < slice.revision()) {
            return;
        }
        Slice before = slice.value();
        slice.setStored(value, revision);
        slice.restrictTo(job.remainingCount(slice));
        // The tasks are first removed from the slices with lower numbers, so that listeners never see an attempt in two
        // slices.
        job.slicesByNumber().headMap(number).values().forEach(lower -> restrictToRemaining(job, lower));
        listener.accept(new ReplicaChange.SliceChanged(job, slice, before, slice.value()));
    }

    private void restrictToRemaining(JobEntry job, SliceEntry slice) {
        int count = job.remainingCount(slice);
        if (count != slice.value().count()) {
            Slice before = slice.value();
            slice.restrictTo(count);
            listener.accept(new ReplicaChange.SliceChanged(job, slice, before, slice.value()));
        }
    }

    private void removeSlice(JobEntry job, int number, long revision) {
        SliceEntry slice = job.slicesByNumber().get(number);
        if (slice != null && slice.revision() < revision) {
            job.slicesByNumber().remove(number);
            listener.accept(new ReplicaChange.SliceChanged(job, slice, slice.value(), null));
        }
    }

    /** Removes a job that has neither a record nor slices, and lists one that has only slices. */
    private void updateIfEnded(JobEntry job) {
        if (job.record() != null) {
            return;
        }
        if (job.slices().isEmpty()) {
            endedJobsWithSlices.remove(job);
            jobs.remove(job.id());
        } else {
            endedJobsWithSlices.add(job);
        }
    }
}
