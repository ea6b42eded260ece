package dewlane.core.store;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import dewlane.core.message.Input.KeyChange;
import dewlane.core.message.Input.StoreRow;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKey;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Presence;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What the store held at {@link #revision()}. Only the watch changes it, in the order of the revisions, so that
 * whatever it shows is durable and nothing in it is newer than the revision. Job results are the exception: they never
 * change once written, so those that were read one by one are held as well.
 */
public final class StoreReplica {
    /** Results that are held; what is dropped can be read again. */
    private static final int MAX_RESULTS = 20_000;

    private final JobTable jobs;
    private final DecommissionIndex decommissions = new DecommissionIndex();
    private final Map<String, Presence> presences = new LinkedHashMap<>();
    private final Object2LongOpenHashMap<String> teamUsageRevisions = new Object2LongOpenHashMap<>();
    private final Cache<String, JobResult> results = Caffeine.newBuilder()
            .maximumSize(MAX_RESULTS)
            .executor(Runnable::run)
            .build();
    private final Consumer<ReplicaChange> listener;
    private PartitionMap partitionMap;
    private long partitionMapRevision;
    private long revision;
    private boolean loading;

    /** An empty replica at revision 0; the listener is told each change once it is in place. */
    public StoreReplica(Consumer<ReplicaChange> listener) {
        this.listener = listener;
        this.jobs = new JobTable(listener);
    }

    /**
     * Begins anew from a listing. Changes after {@code listedRevision} must follow, whether or not the rows have them.
     */
    void load(List<StoreRow> rows, long listedRevision) {
        jobs.clear();
        decommissions.clear();
        presences.clear();
        teamUsageRevisions.clear();
        // The map itself is kept, to tell the listener what it was before.
        partitionMapRevision = 0;
        loading = true;
        rows.stream()
                .sorted(Comparator.comparing((StoreRow row) -> !row.key().startsWith(StoreKeys.JOBS))
                        .thenComparingLong(StoreRow::revision))
                .forEach(row -> apply(new KeyChange(row.key(), row.value(), row.revision())));
        loading = false;
        revision = listedRevision;
    }

    /** Everything up to the revision has been applied. */
    void advance(long toRevision) {
        revision = Math.max(revision, toRevision);
    }

    /** Applies one change of the watch. A change older than what is held is one that the listing already had. */
    public void apply(KeyChange change) {
        StoreKey key = StoreKey.parse(change.key());
        if (change.value() instanceof StoredValue.Unreadable unreadable) {
            hold(key, change.key(), unreadable.reason());
        } else {
            apply(key, change);
        }
    }

    private void apply(StoreKey key, KeyChange change) {
        if (key instanceof StoreKey.OfSlice slice) {
            jobs.applySlice(slice, change);
        } else if (key instanceof StoreKey.OfMalformedSlice) {
            listener.accept(new ReplicaChange.ValueUnreadable(change.key(), "no slice number"));
        } else if (key instanceof StoreKey.OfJob job) {
            jobs.applyJob(job.job(), change);
        } else if (key instanceof StoreKey.OfJobResult result) {
            applyResult(result.job(), (JobResult) change.value());
        } else if (key instanceof StoreKey.OfDecommission decommission) {
            applyDecommission(decommission.name(), change);
        } else if (key instanceof StoreKey.OfPresence presence) {
            applyPresence(presence.controller(), (Presence) change.value());
        } else if (key instanceof StoreKey.OfTeamUsage usage) {
            applyTeamUsage(usage.team(), change);
        } else if (key instanceof StoreKey.OfPartitionMap) {
            applyPartitionMap((PartitionMap) change.value(), change.revision());
        }
    }

    /**
     * Holds what depends on a value that cannot be read, instead of guessing: a job is neither launched nor ended nor
     * are users told about it, a controller counts as present, and an unreadable map is never replaced, as its version
     * stays unknown.
     */
    private void hold(StoreKey key, String keyText, String reason) {
        if (key instanceof StoreKey.OfJob job) {
            jobs.unreadable().markUnreadable(job.job(), keyText);
        } else if (key instanceof StoreKey.OfSlice slice) {
            jobs.unreadable().markUnreadable(slice.job(), keyText);
        } else if (key instanceof StoreKey.OfMalformedSlice slice) {
            jobs.unreadable().markUnreadable(slice.job(), keyText);
        } else if (key instanceof StoreKey.OfPresence presence) {
            presences.put(presence.controller(), new Presence(0, SchemaVersion.FIRST));
        }
        listener.accept(new ReplicaChange.ValueUnreadable(keyText, reason));
    }

    private void applyResult(String job, JobResult result) {
        if (result != null) {
            cacheResult(job, result);
        }
    }

    private void applyDecommission(String name, KeyChange change) {
        decommissions.apply(name, change).ifPresent(entry -> entry.machines()
                .forEach(machine -> listener.accept(new ReplicaChange.MachineDecommissioned(machine, entry.record()))));
    }

    private void applyPresence(String controller, Presence presence) {
        if (presence == null) {
            presences.remove(controller);
        } else {
            presences.put(controller, presence);
        }
    }

    private void applyTeamUsage(String team, KeyChange change) {
        long changedAt = change.value() == null ? 0 : change.revision();
        teamUsageRevisions.put(team, Math.max(teamUsageRevisions.getLong(team), changedAt));
    }

    private void applyPartitionMap(PartitionMap map, long changedAt) {
        if (map != null && changedAt > partitionMapRevision) {
            PartitionMap before = partitionMap;
            partitionMap = map;
            partitionMapRevision = changedAt;
            listener.accept(new ReplicaChange.PartitionMapChanged(before, map, !loading));
        }
    }

    /** The revision up to which everything is known. */
    public long revision() {
        return revision;
    }

    /** The present partition map; null before the first. */
    public PartitionMap partitionMap() {
        return partitionMap;
    }

    /** The revision of the partition map's latest change. */
    public long partitionMapRevision() {
        return partitionMapRevision;
    }

    /** The jobs that have not ended, and those of which slices are left. */
    public Collection<JobEntry> jobs() {
        return jobs.all();
    }

    /** The job, or null if it is unknown or has ended and left nothing. */
    public JobEntry job(String id) {
        return jobs.get(id);
    }

    /** The job, or null if it has no record: it has ended or was never accepted, or its record cannot be read. */
    public JobEntry activeJob(String id) {
        JobEntry job = jobs.get(id);
        return job == null || job.record() == null ? null : job;
    }

    /** Jobs that have ended and of which only slices are left, to be deleted. */
    public Collection<JobEntry> endedJobsWithSlices() {
        return jobs.endedJobsWithSlices();
    }

    /** True if something of the job is stored that cannot be read, so that nothing about it may be decided. */
    public boolean isUnreadable(String job) {
        return jobs.unreadable().contains(job);
    }

    /** Jobs of which something cannot be read. */
    public Set<String> unreadableJobs() {
        return jobs.unreadable().jobs();
    }

    /** The result of a job if this controller has seen it, or null; absence proves nothing. */
    public JobResult result(String id) {
        return results.getIfPresent(id);
    }

    /** Remembers the result of a job that has ended. */
    public void cacheResult(String id, JobResult result) {
        results.put(id, result);
        listener.accept(new ReplicaChange.JobEnded(id, result));
    }

    /** The decommission records, by key. */
    public Collection<DecommissionIndex.Entry> decommissions() {
        return decommissions.byKey();
    }

    /** The decommission record about the machine, or null if there is none. */
    public DecommissionIndex.Entry decommission(String machine) {
        return decommissions.get(machine);
    }

    /** True if there is a decommission record about the machine. */
    public boolean isDecommissioned(String machine) {
        return decommission(machine) != null;
    }

    /** The controllers whose leases have not expired, by name. */
    public Map<String, Presence> presences() {
        return presences;
    }

    /** The revision of the latest change of a team's use; 0 if none is known. */
    public long teamUsageRevision(String team) {
        return teamUsageRevisions.getLong(team);
    }
}
