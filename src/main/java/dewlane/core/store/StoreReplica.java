package dewlane.core.store;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import dewlane.core.message.Input;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.StoredValue.Slice;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What the state service held at {@link #revision()}. Only the watch changes it, in the order of the revisions, so that
 * whatever it shows is durable and nothing in it is newer than the revision.
 */
public final class StoreReplica {
    private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
    private final DecommissionIndex decommissions = new DecommissionIndex();
    private final Map<String, Presence> presences = new LinkedHashMap<>();
    /** Jobs of which only slices are left. */
    private final Set<JobEntry> endedJobsWithSlices = new LinkedHashSet<>();

    private final UnreadableKeys unreadable = new UnreadableKeys();

    private final Object2LongOpenHashMap<String> teamUsageRevisions = new Object2LongOpenHashMap<>();
    private final Cache<String, JobResult> results =
            Caffeine.newBuilder().maximumSize(20_000).executor(Runnable::run).build();
    private final Consumer<ReplicaChange> listener;
    private PartitionMap partitionMap;
    private long partitionMapRevision;
    private long revision;
    private boolean loading;

    public StoreReplica(Consumer<ReplicaChange> follower) {
        this.listener = follower;
    }

    /** Begins anew from a listing. Changes after {@code listedAt} must follow, whether or not the rows have them. */
    void load(List<Input.StoreRow> rows, long listedAt) {
        for (JobEntry entry : List.copyOf(jobs.values())) {
            for (SliceEntry slice : List.copyOf(entry.slices())) {
                listener.accept(new ReplicaChange.SliceChanged(entry, slice, slice.value(), null));
            }
            JobRecord before = entry.record();
            entry.removeRecord();
            if (before != null) {
                listener.accept(new ReplicaChange.JobChanged(entry, before, null));
            }
        }
        jobs.clear();
        endedJobsWithSlices.clear();
        unreadable.clear();
        decommissions.clear();
        presences.clear();
        teamUsageRevisions.clear();
        partitionMapRevision = 0;
        loading = true;
        rows.stream()
                .sorted(Comparator.comparing((Input.StoreRow row) -> !row.key().startsWith(StoreKeys.JOBS))
                        .thenComparingLong(Input.StoreRow::revision))
                .forEach(row -> apply(new Input.KeyChange(row.key(), row.value(), row.revision())));
        loading = false;
        revision = listedAt;
    }

    /** Applies one change of the watch. A change older than what is held is one that the listing already had. */
    public void apply(Input.KeyChange change) {
        String key = change.key();
        if (change.value() instanceof StoredValue.Unreadable bad) {
            applyUnreadable(key, bad.reason());
        } else if (key.startsWith(StoreKeys.SLICES)) {
            applySlice(key.substring(StoreKeys.SLICES.length()), change);
        } else if (key.startsWith(StoreKeys.JOBS)) {
            applyJob(key.substring(StoreKeys.JOBS.length()), change);
        } else if (key.startsWith(StoreKeys.JOB_RESULTS)) {
            if (change.value() != null) {
                recordResult(key.substring(StoreKeys.JOB_RESULTS.length()), (JobResult) change.value());
            }
        } else if (key.startsWith(StoreKeys.DECOMMISSIONS)) {
            applyDecommission(change);
        } else if (key.startsWith(StoreKeys.PRESENCES)) {
            applyPresence(key.substring(StoreKeys.PRESENCES.length()), (Presence) change.value());
        } else if (key.startsWith(StoreKeys.TEAM_USAGES)) {
            String name = key.substring(StoreKeys.TEAM_USAGES.length());
            teamUsageRevisions.put(
                    name, Math.max(teamUsageRevisions.getLong(name), change.value() == null ? 0 : change.revision()));
        } else if (key.equals(StoreKeys.PARTITION_MAP)
                && change.value() != null
                && change.revision() > partitionMapRevision) {
            PartitionMap before = partitionMap;
            partitionMap = (PartitionMap) change.value();
            partitionMapRevision = change.revision();
            listener.accept(new ReplicaChange.PartitionMapChanged(before, partitionMap, !loading));
        }
    }

    private void applyPresence(String name, Presence presence) {
        if (presence == null) {
            presences.remove(name);
        } else {
            presences.put(name, presence);
        }
    }

    /**
     * Holds what depends on a value that cannot be read, instead of guessing: a job is neither launched nor ended nor
     * told about, a controller counts as present, and an unreadable map is never replaced, as its version stays
     * unknown.
     */
    private void applyUnreadable(String key, String reason) {
        if (key.startsWith(StoreKeys.SLICES) || key.startsWith(StoreKeys.JOBS)) {
            unreadable.add(key);
        } else if (key.startsWith(StoreKeys.PRESENCES)) {
            presences.put(key.substring(StoreKeys.PRESENCES.length()), new Presence(0, SchemaVersion.FIRST));
        }
        listener.accept(new ReplicaChange.ValueUnreadable(key, reason));
    }

    /** True if something of the job is stored that cannot be read, so that nothing about it may be decided. */
    public boolean isUnreadable(String job) {
        return unreadable.contains(job);
    }

    /** Jobs of which something cannot be read. */
    public Set<String> unreadableJobs() {
        return unreadable.jobs();
    }

    private void applyDecommission(Input.KeyChange change) {
        DecommissionIndex.Entry entry = decommissions.apply(change);
        if (entry != null) {
            entry.machines()
                    .forEach(name -> listener.accept(new ReplicaChange.MachineDecommissioned(name, entry.record())));
        }
    }

    void advance(long to) {
        revision = Math.max(revision, to);
    }

    private void applyJob(String id, Input.KeyChange change) {
        unreadable.markReadable(id, change.key());
        JobEntry entry = jobs.get(id);
        if (change.value() == null) {
            if (entry != null && entry.revision() < change.revision()) {
                removeJob(entry);
            }
            return;
        }
        if (entry == null) {
            entry = new JobEntry(id);
            jobs.put(id, entry);
        }
        if (change.revision() >= entry.revision()) {
            JobRecord before = entry.record();
            entry.store((JobRecord) change.value(), change.revision());
            endedJobsWithSlices.remove(entry);
            listener.accept(new ReplicaChange.JobChanged(entry, before, entry.record()));
            if (before == null) {
                applyAssignments(entry);
            }
        }
    }

    private void removeJob(JobEntry entry) {
        JobRecord before = entry.record();
        entry.removeRecord();
        if (before != null) {
            listener.accept(new ReplicaChange.JobChanged(entry, before, null));
        }
        entry.slices().removeIf(slice -> slice.revision() == 0);
        updateEndedJob(entry);
    }

    /** A slice that has no key yet is as it was dealt, at version 0. */
    private void applyAssignments(JobEntry entry) {
        List<StoredValue.SliceAssignment> deals = entry.record().assignments();
        for (int i = 0; i < deals.size(); i++) {
            if (!entry.slicesByNumber().containsKey(i)) {
                SliceEntry slice = new SliceEntry(entry.id(), i);
                slice.store(deals.get(i).slice(), 0);
                entry.slicesByNumber().put(i, slice);
                slice.restrictTo(entry.remainingCount(slice));
            }
        }
    }

    private void applySlice(String name, Input.KeyChange change) {
        int slash = name.lastIndexOf('/');
        String id = name.substring(0, Math.max(0, slash));
        int number;
        try {
            number = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            listener.accept(new ReplicaChange.ValueUnreadable(change.key(), "no slice number"));
            return;
        }
        unreadable.markReadable(id, change.key());
        JobEntry entry = jobs.get(id);
        if (change.value() == null) {
            if (entry != null) {
                removeSlice(entry, number, change.revision());
            }
            return;
        }
        if (entry == null) {
            entry = new JobEntry(id);
            jobs.put(id, entry);
        }
        storeSlice(entry, number, (Slice) change.value(), change.revision());
        updateEndedJob(entry);
    }

    private void removeSlice(JobEntry entry, int number, long version) {
        SliceEntry held = entry.slicesByNumber().get(number);
        if (held != null && held.revision() < version) {
            entry.slicesByNumber().remove(number);
            listener.accept(new ReplicaChange.SliceChanged(entry, held, held.value(), null));
        }
        updateEndedJob(entry);
    }

    private void storeSlice(JobEntry entry, int number, Slice value, long version) {
        SliceEntry held = entry.slicesByNumber().computeIfAbsent(number, n -> new SliceEntry(entry.id(), n));
        if (version < held.revision()) {
            return;
        }
        Slice before = held.value();
        held.store(value, version);
        held.restrictTo(entry.remainingCount(held));
        // What it takes over leaves the others first, so that no attempt is in two slices in between.
        for (SliceEntry other : entry.slicesByNumber().headMap(number).values()) {
            int count = entry.remainingCount(other);
            if (count != other.value().count()) {
                Slice was = other.value();
                other.restrictTo(count);
                listener.accept(new ReplicaChange.SliceChanged(entry, other, was, other.value()));
            }
        }
        listener.accept(new ReplicaChange.SliceChanged(entry, held, before, held.value()));
    }

    private void updateEndedJob(JobEntry entry) {
        if (entry.record() != null) {
            return;
        }
        if (entry.slices().isEmpty()) {
            endedJobsWithSlices.remove(entry);
            jobs.remove(entry.id());
        } else {
            endedJobsWithSlices.add(entry);
        }
    }

    /** Jobs that are over and of which only slices are left, to be deleted. */
    public Collection<JobEntry> endedJobsWithSlices() {
        return endedJobsWithSlices;
    }

    /** The revision up to which everything is known. */
    public long revision() {
        return revision;
    }

    /** The present map; null before the first. */
    public PartitionMap partitionMap() {
        return partitionMap;
    }

    /** The revision of the map's latest change. */
    public long partitionMapRevision() {
        return partitionMapRevision;
    }

    /** The jobs that are not over. */
    public Collection<JobEntry> jobs() {
        return jobs.values();
    }

    /** The job, or null if it is unknown or over. */
    public JobEntry job(String id) {
        return jobs.get(id);
    }

    /** The job, or null if it has no record: it is over or was never accepted, or its record cannot be read. */
    public JobEntry activeJob(String id) {
        JobEntry entry = jobs.get(id);
        return entry == null || entry.record() == null ? null : entry;
    }

    /** The final state of a job if this node has seen it; absence proves nothing. */
    public JobResult result(String id) {
        return results.getIfPresent(id);
    }

    /** Remembers the result of a job that has ended. */
    public void recordResult(String id, JobResult fin) {
        results.put(id, fin);
        listener.accept(new ReplicaChange.JobEnded(id, fin));
    }

    /** Records of machines by their keys. */
    public Collection<DecommissionIndex.Entry> decommissions() {
        return decommissions.byKey();
    }

    /** Records of machines by the machines' names. */
    public Map<String, DecommissionIndex.Entry> decommissionsByMachine() {
        return decommissions.byMachine();
    }

    /** The controllers whose leases live, by name. */
    public Map<String, Presence> presences() {
        return presences;
    }

    /** The revision of the latest change of a team's use. */
    public long teamUsageRevision(String team) {
        return teamUsageRevisions.getLong(team);
    }
}
