package dewlane.core.store;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import dewlane.core.message.FailureIsolation;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A local copy of the store's contents as of {@link #revision()}. Only the watch and the listing before it change it,
 * in the order of the revisions, so that everything in it is durable and nothing in it is newer than the revision.
 * There are two exceptions: after a listing, values may be newer until {@link StoreWatcher#isCaughtUp()}; and job
 * results that were read individually are cached as well, as results never change once written.
 */
public final class StoreReplica {
    /** The number of cached results; an evicted one can be read again. */
    private static final int MAX_CACHED_RESULTS = 20_000;

    private final JobTable jobs;
    private final DecommissionIndex decommissions = new DecommissionIndex();
    private final Map<String, Presence> presences = new LinkedHashMap<>();
    private final Object2LongOpenHashMap<String> teamUsageRevisions = new Object2LongOpenHashMap<>();
    private final Cache<String, JobResult> results = Caffeine.newBuilder()
            .maximumSize(MAX_CACHED_RESULTS)
            .executor(Runnable::run)
            .build();
    private final Consumer<ReplicaChange> listener;
    private PartitionMap partitionMap;
    private long partitionMapRevision;
    private long revision;
    private boolean loading;

    /** Creates an empty replica at revision 0. The listener receives each change after it has been applied. */
    public StoreReplica(Consumer<ReplicaChange> listener) {
        this.listener = listener;
        this.jobs = new JobTable(listener);
    }

    /**
     * Returns a row of a listing with the replica's own value in place of an equal one, so that a listing that is read
     * while the replica holds an older one takes little memory.
     */
    StoreRow withSharedValue(StoreRow row) {
        StoredValue held = jobs.value(StoreKey.parse(row.key()));
        return row.value().equals(held) ? new StoreRow(row.key(), held, row.revision()) : row;
    }

    /** Removes the contents before a listing is loaded. */
    void clear() {
        jobs.clear();
        decommissions.clear();
        presences.clear();
        teamUsageRevisions.clear();
        // The map itself is kept, as the listener receives it as the previous one.
        partitionMapRevision = 0;
    }

    /**
     * Adds the rows of a listing. All changes after {@code listedRevision} must be applied next, even those that the
     * listed rows already include. If a row fails, its value counts as unreadable, and the exception is thrown once all
     * rows have been added.
     */
    void load(List<StoreRow> rows, long listedRevision) {
        List<StoreRow> sorted = new ArrayList<>(rows);
        sorted.sort(Comparator.comparing((StoreRow row) -> !row.key().startsWith(StoreKeys.JOBS))
                .thenComparingLong(StoreRow::revision));
        loading = true;
        try {
            FailureIsolation.forEach(sorted, this::applyListed);
        } finally {
            loading = false;
            revision = listedRevision;
        }
    }

    private void applyListed(StoreRow row) {
        try {
            apply(new KeyChange(row.key(), row.value(), row.revision()));
        } catch (RuntimeException | StackOverflowError e) {
            applyUnreadable(StoreKey.parse(row.key()), row.key(), "internal error: " + e);
            throw e;
        }
    }

    /** Called when all changes up to the revision have been applied. */
    void advance(long toRevision) {
        revision = Math.max(revision, toRevision);
    }

    /**
     * Applies one change of the watch. A change that is older than the replica's value is ignored, as the listing
     * already included it. Presences are applied without this check; the changes that follow correct them.
     */
    public void apply(KeyChange change) {
        StoreKey key = StoreKey.parse(change.key());
        if (change.value() instanceof StoredValue.Unreadable unreadable) {
            applyUnreadable(key, change.key(), unreadable.reason());
        } else {
            apply(key, change);
        }
    }

    private void apply(StoreKey key, KeyChange change) {
        if (key instanceof StoreKey.OfSlice slice) {
            jobs.applySlice(slice, change);
        } else if (key instanceof StoreKey.OfMalformedSlice) {
            listener.accept(new ReplicaChange.ValueUnreadable(change.key(), "the key does not end in a slice number"));
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
     * Records a value that cannot be read, so that nothing that depends on it is changed: the job's tasks are not
     * launched, the job is not ended and its status is not shown to users; the controller counts as live; the partition
     * map is never replaced, as its revision stays unknown.
     */
    private void applyUnreadable(StoreKey key, String keyText, String reason) {
        if (key instanceof StoreKey.OfJob job) {
            jobs.unreadableKeys().markUnreadable(job.job(), keyText);
        } else if (key instanceof StoreKey.OfSlice slice) {
            jobs.unreadableKeys().markUnreadable(slice.job(), keyText);
        } else if (key instanceof StoreKey.OfMalformedSlice slice) {
            jobs.unreadableKeys().markUnreadable(slice.job(), keyText);
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
        long changeRevision = change.value() == null ? 0 : change.revision();
        teamUsageRevisions.put(team, Math.max(teamUsageRevisions.getLong(team), changeRevision));
    }

    private void applyPartitionMap(PartitionMap map, long changeRevision) {
        if (map != null && changeRevision > partitionMapRevision) {
            PartitionMap before = partitionMap;
            partitionMap = map;
            partitionMapRevision = changeRevision;
            listener.accept(new ReplicaChange.PartitionMapChanged(before, map, !loading));
        }
    }

    /** Returns the revision up to which the replica is complete. */
    public long revision() {
        return revision;
    }

    /** Returns the partition map, or null if there is none yet. */
    public PartitionMap partitionMap() {
        return partitionMap;
    }

    /** Returns the revision of the partition map's latest change; 0 if there is no map yet. */
    public long partitionMapRevision() {
        return partitionMapRevision;
    }

    /** Returns the jobs that have not ended, and ended jobs that still have slices. */
    public Collection<JobEntry> jobs() {
        return jobs.all();
    }

    /** Returns the job, or null if it has neither a record nor slices. */
    public JobEntry job(String id) {
        return jobs.get(id);
    }

    /**
     * Returns the job, or null if the replica has no record of it: it has ended, was never accepted, or its record
     * cannot be read.
     */
    public JobEntry activeJob(String id) {
        JobEntry job = jobs.get(id);
        return job == null || job.record() == null ? null : job;
    }

    /** Returns the ended jobs that still have slices, which are to be deleted. */
    public Collection<JobEntry> endedJobsWithSlices() {
        return jobs.endedJobsWithSlices();
    }

    /**
     * Returns true if the job's record or one of its slices cannot be read, so that no decision about the job may be
     * made.
     */
    public boolean isUnreadable(String job) {
        return jobs.unreadableKeys().contains(job);
    }

    /** Returns the jobs whose record or one of whose slices cannot be read. */
    public Set<String> unreadableJobs() {
        return jobs.unreadableKeys().jobs();
    }

    /** Returns the result of a job if it is cached, or null; a job without a cached result may have ended. */
    public JobResult cachedResult(String id) {
        return results.getIfPresent(id);
    }

    /** Adds the result of a job that has ended to the cache. */
    public void cacheResult(String id, JobResult result) {
        results.put(id, result);
        listener.accept(new ReplicaChange.JobEnded(id, result));
    }

    /** Returns the decommission records. */
    public Collection<DecommissionIndex.Entry> decommissions() {
        return decommissions.all();
    }

    /** Returns the decommission record that covers the machine, or null if there is none. */
    public DecommissionIndex.Entry decommission(String machine) {
        return decommissions.get(machine);
    }

    /** Returns true if a decommission record covers the machine. */
    public boolean isDecommissioned(String machine) {
        return decommission(machine) != null;
    }

    /** Returns the presences of the controllers whose leases have not expired, by controller name. */
    public Map<String, Presence> presences() {
        return presences;
    }

    /** Returns the revision of the latest change of a team's usage record; 0 if there is none. */
    public long teamUsageRevision(String team) {
        return teamUsageRevisions.getLong(team);
    }
}
