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
    private final DecommissionIndex machines = new DecommissionIndex();
    private final Map<String, Presence> presences = new LinkedHashMap<>();
    /** Jobs of which only slices are left. */
    private final Set<JobEntry> leftovers = new LinkedHashSet<>();

    private final UnreadableKeys unreadable = new UnreadableKeys();

    private final Object2LongOpenHashMap<String> teams = new Object2LongOpenHashMap<>();
    private final Cache<String, JobResult> finals =
            Caffeine.newBuilder().maximumSize(20_000).executor(Runnable::run).build();
    private final Consumer<ReplicaChange> follower;
    private PartitionMap map;
    private long mapVersion;
    private long revision;
    private boolean loading;

    public StoreReplica(Consumer<ReplicaChange> follower) {
        this.follower = follower;
    }

    /** Begins anew from a listing. Changes after {@code listedAt} must follow, whether or not the rows have them. */
    void load(List<Input.StoreRow> rows, long listedAt) {
        for (JobEntry entry : List.copyOf(jobs.values())) {
            for (SliceEntry slice : List.copyOf(entry.slices())) {
                follower.accept(new ReplicaChange.SliceChanged(entry, slice, slice.value(), null));
            }
            JobRecord before = entry.record();
            entry.removeRecord();
            if (before != null) {
                follower.accept(new ReplicaChange.JobChanged(entry, before, null));
            }
        }
        jobs.clear();
        leftovers.clear();
        unreadable.clear();
        machines.clear();
        presences.clear();
        teams.clear();
        mapVersion = 0;
        loading = true;
        rows.stream()
                .sorted(Comparator.comparing((Input.StoreRow row) -> !row.key().startsWith(StoreKeys.JOBS))
                        .thenComparingLong(Input.StoreRow::version))
                .forEach(row -> apply(new Input.KeyChange(row.key(), row.value(), row.version())));
        loading = false;
        revision = listedAt;
    }

    /** Applies one change of the watch. A change older than what is held is one that the listing already had. */
    public void apply(Input.KeyChange change) {
        String key = change.key();
        if (change.value() instanceof StoredValue.Unreadable bad) {
            noteUnreadable(key, bad.reason());
        } else if (key.startsWith(StoreKeys.SLICES)) {
            slice(key.substring(StoreKeys.SLICES.length()), change);
        } else if (key.startsWith(StoreKeys.JOBS)) {
            job(key.substring(StoreKeys.JOBS.length()), change);
        } else if (key.startsWith(StoreKeys.FINALS)) {
            if (change.value() != null) {
                rememberFinal(key.substring(StoreKeys.FINALS.length()), (JobResult) change.value());
            }
        } else if (key.startsWith(StoreKeys.MACHINES)) {
            machineRecord(change);
        } else if (key.startsWith(StoreKeys.PRESENCE)) {
            presence(key.substring(StoreKeys.PRESENCE.length()), (Presence) change.value());
        } else if (key.startsWith(StoreKeys.TEAMS)) {
            String name = key.substring(StoreKeys.TEAMS.length());
            teams.put(name, Math.max(teams.getLong(name), change.value() == null ? 0 : change.version()));
        } else if (key.equals(StoreKeys.MAP) && change.value() != null && change.version() > mapVersion) {
            PartitionMap before = map;
            map = (PartitionMap) change.value();
            mapVersion = change.version();
            follower.accept(new ReplicaChange.PartitionMapChanged(before, map, !loading));
        }
    }

    private void presence(String name, Presence presence) {
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
    private void noteUnreadable(String key, String reason) {
        if (key.startsWith(StoreKeys.SLICES) || key.startsWith(StoreKeys.JOBS)) {
            unreadable.add(key);
        } else if (key.startsWith(StoreKeys.PRESENCE)) {
            presences.put(key.substring(StoreKeys.PRESENCE.length()), new Presence(0, SchemaVersion.FIRST));
        }
        follower.accept(new ReplicaChange.ValueUnreadable(key, reason));
    }

    /** True if something of the job is stored that cannot be read, so that nothing about it may be decided. */
    public boolean isHeld(String job) {
        return unreadable.holds(job);
    }

    /** Jobs of which something cannot be read. */
    public Set<String> held() {
        return unreadable.jobs();
    }

    private void machineRecord(Input.KeyChange change) {
        DecommissionIndex.Entry entry = machines.apply(change);
        if (entry != null) {
            entry.names()
                    .forEach(name -> follower.accept(new ReplicaChange.MachineDecommissioned(name, entry.record())));
        }
    }

    void advance(long to) {
        revision = Math.max(revision, to);
    }

    private void job(String id, Input.KeyChange change) {
        unreadable.readable(id, change.key());
        JobEntry entry = jobs.get(id);
        if (change.value() == null) {
            if (entry != null && entry.version() < change.version()) {
                removeJob(entry);
            }
            return;
        }
        if (entry == null) {
            entry = new JobEntry(id);
            jobs.put(id, entry);
        }
        if (change.version() >= entry.version()) {
            JobRecord before = entry.record();
            entry.store((JobRecord) change.value(), change.version());
            leftovers.remove(entry);
            follower.accept(new ReplicaChange.JobChanged(entry, before, entry.record()));
            if (before == null) {
                deal(entry);
            }
        }
    }

    private void removeJob(JobEntry entry) {
        JobRecord before = entry.record();
        entry.removeRecord();
        if (before != null) {
            follower.accept(new ReplicaChange.JobChanged(entry, before, null));
        }
        entry.slices().removeIf(slice -> slice.version() == 0);
        keepLeftovers(entry);
    }

    /** A slice that has no key yet is as it was dealt, at version 0. */
    private void deal(JobEntry entry) {
        List<StoredValue.SliceAssignment> deals = entry.record().deals();
        for (int i = 0; i < deals.size(); i++) {
            if (!entry.slicesByNumber().containsKey(i)) {
                SliceEntry slice = new SliceEntry(entry.id, i);
                slice.store(deals.get(i).slice(), 0);
                entry.slicesByNumber().put(i, slice);
                slice.restrictTo(countLeft(entry, slice));
            }
        }
    }

    private void slice(String name, Input.KeyChange change) {
        int slash = name.lastIndexOf('/');
        String id = name.substring(0, Math.max(0, slash));
        int number;
        try {
            number = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            follower.accept(new ReplicaChange.ValueUnreadable(change.key(), "no slice number"));
            return;
        }
        unreadable.readable(id, change.key());
        JobEntry entry = jobs.get(id);
        if (change.value() == null) {
            if (entry != null) {
                removeSlice(entry, number, change.version());
            }
            return;
        }
        if (entry == null) {
            entry = new JobEntry(id);
            jobs.put(id, entry);
        }
        storeSlice(entry, number, (Slice) change.value(), change.version());
        keepLeftovers(entry);
    }

    private void removeSlice(JobEntry entry, int number, long version) {
        SliceEntry held = entry.slicesByNumber().get(number);
        if (held != null && held.version() < version) {
            entry.slicesByNumber().remove(number);
            follower.accept(new ReplicaChange.SliceChanged(entry, held, held.value(), null));
        }
        keepLeftovers(entry);
    }

    private void storeSlice(JobEntry entry, int number, Slice value, long version) {
        SliceEntry held = entry.slicesByNumber().computeIfAbsent(number, n -> new SliceEntry(entry.id, n));
        if (version < held.version()) {
            return;
        }
        Slice before = held.value();
        held.store(value, version);
        held.restrictTo(countLeft(entry, held));
        // What it takes over leaves the others first, so that no attempt is in two slices in between.
        for (SliceEntry other : entry.slicesByNumber().headMap(number).values()) {
            int count = countLeft(entry, other);
            if (count != other.value().count()) {
                Slice was = other.value();
                other.restrictTo(count);
                follower.accept(new ReplicaChange.SliceChanged(entry, other, was, other.value()));
            }
        }
        follower.accept(new ReplicaChange.SliceChanged(entry, held, before, held.value()));
    }

    /**
     * How many of its first tasks a slice still holds. One that is too large to be written in one piece is cut by
     * slices with higher numbers, which take over its last tasks group by group: a task is always in the slice with the
     * highest number that holds it.
     */
    private static int countLeft(JobEntry entry, SliceEntry slice) {
        int first = slice.stored().first();
        int count = slice.stored().count();
        for (SliceEntry later :
                entry.slicesByNumber().tailMap(slice.number, false).values()) {
            int from = later.stored().first();
            if (from >= first && from < first + count) {
                count = from - first;
            }
        }
        return count;
    }

    private void keepLeftovers(JobEntry entry) {
        if (entry.record() != null) {
            return;
        }
        if (entry.slices().isEmpty()) {
            leftovers.remove(entry);
            jobs.remove(entry.id);
        } else {
            leftovers.add(entry);
        }
    }

    /** Jobs that are over and of which only slices are left, to be deleted. */
    public Collection<JobEntry> leftovers() {
        return leftovers;
    }

    /** The revision up to which everything is known. */
    public long revision() {
        return revision;
    }

    /** The present map; null before the first. */
    public PartitionMap map() {
        return map;
    }

    /** The revision of the map's latest change. */
    public long mapVersion() {
        return mapVersion;
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
    public JobEntry recorded(String id) {
        JobEntry entry = jobs.get(id);
        return entry == null || entry.record() == null ? null : entry;
    }

    /** The final state of a job if this node has seen it; absence proves nothing. */
    public JobResult fin(String id) {
        return finals.getIfPresent(id);
    }

    public void rememberFinal(String id, JobResult fin) {
        finals.put(id, fin);
        follower.accept(new ReplicaChange.JobEnded(id, fin));
    }

    /** Records of machines by their keys. */
    public Collection<DecommissionIndex.Entry> machineRecords() {
        return machines.byKey();
    }

    /** Records of machines by the machines' names. */
    public Map<String, DecommissionIndex.Entry> machines() {
        return machines.byName();
    }

    /** The controllers whose leases live, by name. */
    public Map<String, Presence> presences() {
        return presences;
    }

    /** The revision of the latest change of a team's use. */
    public long teamVersion(String team) {
        return teams.getLong(team);
    }
}
