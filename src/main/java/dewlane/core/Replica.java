package dewlane.core;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import dewlane.core.Value.ClusterMap;
import dewlane.core.Value.FinalRecord;
import dewlane.core.Value.JobRecord;
import dewlane.core.Value.MachineRecord;
import dewlane.core.Value.Presence;
import dewlane.core.Value.Slice;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What the state service held at {@link #revision()}. Only the watch changes it, in the order of the revisions, so that
 * whatever it shows is durable and nothing in it is newer than the revision.
 */
public final class Replica {
    /** What a change of the state service changed here; told after the change is in place. */
    sealed interface Delta {
        /** A slice has another value; null where it is new or gone. */
        record SliceChanged(JobEntry job, SliceEntry slice, Slice before, Slice after) implements Delta {}

        /** A job has another record; null where it is new or gone. */
        record JobChanged(JobEntry job, JobRecord before, JobRecord after) implements Delta {}

        /** The map is another; {@code complete} if no map between the two was missed. */
        record MapChanged(ClusterMap before, ClusterMap after, boolean complete) implements Delta {}

        /** A machine has a record. */
        record MachineChanged(String name, MachineRecord after) implements Delta {}
    }

    /** A job that has a record or slices. */
    public static final class JobEntry {
        public final String id;
        private JobRecord record;
        private long version;
        private final TreeMap<Integer, SliceEntry> slices = new TreeMap<>();
        private Job.Shape shape;

        JobEntry(String id) {
            this.id = id;
        }

        /** Null only for the moment between two changes of a listing. */
        public Job job() {
            return record == null ? null : record.job();
        }

        /** The job's shape; only of a job that has a record. */
        public Job.Shape shape() {
            return shape;
        }

        /** True if the job was cancelled. */
        public boolean aborted() {
            return record != null && record.aborted();
        }

        /** The job's record, or null if it has none any more. */
        JobRecord record() {
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

        /** The slices that the job is cut into. */
        public Collection<SliceEntry> slices() {
            return slices.values();
        }

        /** How many tasks are done. */
        public int done() {
            int n = 0;
            for (SliceEntry s : slices.values()) {
                n += s.value.done().cardinality();
            }
            return n;
        }

        /** How many attempts may be on a machine. */
        public int live() {
            int n = 0;
            for (SliceEntry s : slices.values()) {
                n += s.value.attempts().size();
            }
            return n;
        }

        /** Tasks that are neither done nor may be on a machine. */
        int waiting() {
            int n = 0;
            for (SliceEntry s : slices.values()) {
                n += s.value.waiting();
            }
            return n;
        }

        /** True if every task has a done mark. */
        public boolean complete() {
            return record != null && done() == record.job().tasks();
        }

        /** A number that no slice of the job has had, since slices go only with their job. */
        int nextSlice() {
            return slices.isEmpty() ? 0 : slices.lastKey() + 1;
        }

        /** The slice that holds a task, or null. */
        public SliceEntry sliceOf(int task) {
            for (SliceEntry s : slices.values()) {
                if (task >= s.value.first() && task < s.value.first() + s.value.count()) {
                    return s;
                }
            }
            return null;
        }
    }

    /** A slice and the version of its key. */
    public static final class SliceEntry {
        public final int number;
        public final String key;
        private Slice value;
        private long version;

        SliceEntry(String job, int number) {
            this.number = number;
            this.key = Keys.slice(job, number);
        }

        /** The slice's contents. */
        public Slice value() {
            return value;
        }

        /** The revision of the latest change. */
        public long version() {
            return version;
        }
    }

    /** A record of one or several machines, its key, and the version of that. */
    public record MachineEntry(String key, MachineRecord record, long version) {
        /** The machines that the record is about. */
        public List<String> names() {
            return record.names().isEmpty() ? List.of(key.substring(Keys.MACHINES.length())) : record.names();
        }
    }

    private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machines = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machineKeys = new LinkedHashMap<>();
    private final Map<String, Presence> presences = new LinkedHashMap<>();
    private final Object2LongOpenHashMap<String> teams = new Object2LongOpenHashMap<>();
    private final Cache<String, FinalRecord> finals =
            Caffeine.newBuilder().maximumSize(20_000).executor(Runnable::run).build();
    private final Consumer<Delta> follower;
    private ClusterMap map;
    private long mapVersion;
    private long revision;
    private boolean loading;

    Replica(Consumer<Delta> follower) {
        this.follower = follower;
    }

    /** Begins anew from a listing. Changes after {@code listedAt} must follow, whether or not the rows have them. */
    void load(List<Input.Row> rows, long listedAt) {
        for (JobEntry entry : List.copyOf(jobs.values())) {
            for (SliceEntry slice : List.copyOf(entry.slices.values())) {
                follower.accept(new Delta.SliceChanged(entry, slice, slice.value, null));
            }
            JobRecord before = entry.record;
            entry.record = null;
            follower.accept(new Delta.JobChanged(entry, before, null));
        }
        jobs.clear();
        machines.clear();
        machineKeys.clear();
        presences.clear();
        teams.clear();
        mapVersion = 0;
        loading = true;
        rows.stream()
                .sorted(Comparator.comparing((Input.Row row) -> !row.key().startsWith(Keys.JOBS))
                        .thenComparingLong(Input.Row::version))
                .forEach(row -> apply(new Input.Change(row.key(), row.value(), row.version())));
        loading = false;
        revision = listedAt;
    }

    /** Applies one change of the watch. A change older than what is held is one that the listing already had. */
    void apply(Input.Change change) {
        String key = change.key();
        if (key.startsWith(Keys.SLICES)) {
            slice(key.substring(Keys.SLICES.length()), change);
        } else if (key.startsWith(Keys.JOBS)) {
            job(key.substring(Keys.JOBS.length()), change);
        } else if (key.startsWith(Keys.FINALS)) {
            if (change.value() != null) {
                finals.put(key.substring(Keys.FINALS.length()), (FinalRecord) change.value());
            }
        } else if (key.startsWith(Keys.MACHINES)) {
            machineRecord(change);
        } else if (key.startsWith(Keys.PRESENCE)) {
            String name = key.substring(Keys.PRESENCE.length());
            if (change.value() == null) {
                presences.remove(name);
            } else {
                presences.put(name, (Presence) change.value());
            }
        } else if (key.startsWith(Keys.TEAMS)) {
            String name = key.substring(Keys.TEAMS.length());
            teams.put(name, Math.max(teams.getLong(name), change.value() == null ? 0 : change.version()));
        } else if (key.equals(Keys.MAP) && change.value() != null && change.version() > mapVersion) {
            ClusterMap before = map;
            map = (ClusterMap) change.value();
            mapVersion = change.version();
            follower.accept(new Delta.MapChanged(before, map, !loading));
        }
    }

    private void machineRecord(Input.Change change) {
        MachineEntry known = machineKeys.get(change.key());
        if (known != null && known.version > change.version()) {
            return;
        }
        if (known != null) {
            machineKeys.remove(change.key());
            known.names().forEach(name -> machines.remove(name, known));
        }
        if (change.value() != null) {
            MachineEntry entry = new MachineEntry(change.key(), (MachineRecord) change.value(), change.version());
            machineKeys.put(entry.key, entry);
            for (String name : entry.names()) {
                machines.put(name, entry);
                follower.accept(new Delta.MachineChanged(name, entry.record));
            }
        }
    }

    void advance(long to) {
        revision = Math.max(revision, to);
    }

    private void job(String id, Input.Change change) {
        JobEntry entry = jobs.get(id);
        if (change.value() == null) {
            if (entry != null && entry.version < change.version()) {
                JobRecord before = entry.record;
                entry.record = null;
                entry.version = 0;
                follower.accept(new Delta.JobChanged(entry, before, null));
                entry.slices.values().removeIf(slice -> slice.version == 0);
                dropIfEmpty(entry);
            }
            return;
        }
        if (entry == null) {
            entry = new JobEntry(id);
            jobs.put(id, entry);
        }
        if (change.version() >= entry.version) {
            JobRecord before = entry.record;
            entry.record = (JobRecord) change.value();
            entry.shape = entry.record.job().shape();
            entry.version = change.version();
            follower.accept(new Delta.JobChanged(entry, before, entry.record));
            if (before == null) {
                deal(entry);
            }
        }
    }

    /** A slice that has no key yet is as it was dealt, at version 0. */
    private void deal(JobEntry entry) {
        List<Value.Deal> deals = entry.record.deals();
        for (int i = 0; i < deals.size(); i++) {
            if (!entry.slices.containsKey(i)) {
                SliceEntry slice = new SliceEntry(entry.id, i);
                slice.value = deals.get(i).slice();
                entry.slices.put(i, slice);
            }
        }
    }

    private void slice(String name, Input.Change change) {
        int slash = name.lastIndexOf('/');
        String id = name.substring(0, slash);
        int number = Integer.parseInt(name.substring(slash + 1));
        JobEntry entry = jobs.get(id);
        if (change.value() == null) {
            if (entry != null) {
                SliceEntry held = entry.slices.get(number);
                if (held != null && held.version < change.version()) {
                    entry.slices.remove(number);
                    follower.accept(new Delta.SliceChanged(entry, held, held.value, null));
                }
                dropIfEmpty(entry);
            }
            return;
        }
        if (entry == null) {
            entry = new JobEntry(id);
            jobs.put(id, entry);
        }
        SliceEntry held = entry.slices.computeIfAbsent(number, n -> new SliceEntry(id, n));
        if (change.version() >= held.version) {
            Slice before = held.value;
            held.value = (Slice) change.value();
            held.version = change.version();
            follower.accept(new Delta.SliceChanged(entry, held, before, held.value));
        }
    }

    private void dropIfEmpty(JobEntry entry) {
        if (entry.record == null && entry.slices.isEmpty()) {
            jobs.remove(entry.id);
        }
    }

    /** The revision up to which everything is known. */
    public long revision() {
        return revision;
    }

    /** The present map; null before the first. */
    public ClusterMap map() {
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

    /** The final state of a job if this node has seen it; absence proves nothing. */
    public FinalRecord fin(String id) {
        return finals.getIfPresent(id);
    }

    void rememberFinal(String id, FinalRecord fin) {
        finals.put(id, fin);
    }

    /** Records of machines by their keys. */
    public Collection<MachineEntry> machineRecords() {
        return machineKeys.values();
    }

    /** Records of machines by the machines' names. */
    public Map<String, MachineEntry> machines() {
        return machines;
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
