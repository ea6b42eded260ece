package dewlane.core;

import dewlane.core.Replica.Delta;
import dewlane.core.Value.ClusterMap;
import dewlane.core.Value.Slice;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All machines heard of, whoever owns them, with what the replica and the writes under way put on them. It follows the
 * replica change by change: nothing here is counted anew.
 */
final class Machines {
    private record Rivalry(Job.Shape shape, String type) {}

    private final Context context;
    private final Replica replica;
    private final String self;
    private final Map<String, Machine> byName = new LinkedHashMap<>();
    /** Machines of this controller's part. */
    private final Set<Machine> own = new LinkedHashSet<>();
    /** Machines of this part for which there may be something to command. */
    private final Set<Machine> changed = new LinkedHashSet<>();

    private final Set<String> gone = new HashSet<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<String, JobProgress> works = new HashMap<>();
    /** Jobs with launches that the replica does not show yet. */
    private final Set<String> settling = new LinkedHashSet<>();

    private final Map<String, ResourceUsage> teamUse = new HashMap<>();
    /** By controller and team. */
    private final Map<String, Map<String, ResourceUsage>> ownerUse = new HashMap<>();
    /** Shapes of the jobs that are not over, and how many have each. */
    private final Object2IntOpenHashMap<Job.Shape> shapes = new Object2IntOpenHashMap<>();
    /** As of the present shapes: the question is asked for every job and type. */
    private final Map<Rivalry, Integer> rivals = new HashMap<>();
    /** What the other controllers last said, and when. */
    private final Map<String, PeerStatus> peers = new HashMap<>();

    private final Map<String, Long> peersHeardAt = new HashMap<>();

    Machines(Context context, Replica replica) {
        this.context = context;
        this.replica = replica;
        this.self = context.settings().node();
    }

    void catalog(List<MachineType> read) {
        types.clear();
        rivals.clear();
        for (MachineType t : read) {
            types.put(t.name(), t);
        }
        byName.values().forEach(m -> m.kind = null);
    }

    Collection<MachineType> types() {
        return types.values();
    }

    MachineType type(String name) {
        return types.get(name);
    }

    /** The machine's type, or null while it is not known. */
    MachineType type(Machine m) {
        if (m.kind == null && m.type != null) {
            m.kind = types.get(m.type);
        }
        return m.kind;
    }

    Machine get(String name) {
        return byName.get(name);
    }

    Machine of(String name) {
        Machine m = byName.get(name);
        if (m == null) {
            m = new Machine(name, context.now());
            byName.put(name, m);
            settleOwner(m, true);
        }
        return m;
    }

    Collection<Machine> all() {
        return byName.values();
    }

    /** Machines of this controller's part. */
    Collection<Machine> own() {
        return own;
    }

    /** Something about the machine may call for a command. */
    void touch(Machine m) {
        if (self.equals(m.owner)) {
            changed.add(m);
        }
    }

    Collection<Machine> changed() {
        return changed;
    }

    boolean isGone(String name) {
        return gone.contains(name);
    }

    JobProgress work(String job) {
        return works.computeIfAbsent(job, j -> new JobProgress());
    }

    /** The work on a job, or null if this controller has had none. */
    JobProgress knownWork(String job) {
        return works.get(job);
    }

    /** What a team's tasks may be using, gone ones included until the proof is durable. */
    ResourceUsage use(String team) {
        return teamUse.computeIfAbsent(team, t -> new ResourceUsage());
    }

    /** What of a team's use counts against a controller: that of the slices it owns. */
    ResourceUsage use(String team, String node) {
        return ownerUse.computeIfAbsent(node, n -> new HashMap<>()).computeIfAbsent(team, t -> new ResourceUsage());
    }

    void follow(Delta delta) {
        if (delta instanceof Delta.SliceChanged d) {
            slice(d.job(), d.slice(), d.before(), d.after());
        } else if (delta instanceof Delta.JobChanged d) {
            job(d);
        } else if (delta instanceof Delta.MapChanged d) {
            map(d);
        } else if (delta instanceof Delta.MachineChanged d) {
            fate(d.name(), d.after().fate());
        }
    }

    private void fate(String name, Value.MachineFate fate) {
        Machine m = byName.get(name);
        if (fate == Value.MachineFate.GONE) {
            gone.add(name);
            if (m != null) {
                dropIfGone(m);
            }
        } else if (fate == Value.MachineFate.RETURN && m != null) {
            m.returned = true;
        }
    }

    private void job(Delta.JobChanged d) {
        JobEntry job = d.job();
        if (d.before() == null && d.after() != null) {
            shapeCounts(d.after().job().shape(), 1);
            job.slices().forEach(s -> diff(job, job.job(), s, null, s.value()));
        } else if (d.before() != null && d.after() == null) {
            shapeCounts(d.before().job().shape(), -1);
            job.slices().forEach(s -> diff(job, d.before().job(), s, s.value(), null));
            if (works.containsKey(job.id)) {
                settling.add(job.id);
            }
        } else if (d.after() != null && d.after().aborted()) {
            touchAll(job);
        }
    }

    /** There may be something to command wherever the job has attempts. */
    void touchAll(JobEntry job) {
        job.slices().forEach(s -> s.value().attempts().forEach(a -> touch(of(a.machine()))));
    }

    private void shapeCounts(Job.Shape shape, int by) {
        int n = shapes.addTo(shape, by) + by;
        if (n == 0) {
            shapes.removeInt(shape);
        }
        if (n == 0 || by == n) {
            rivals.clear();
        }
    }

    private void slice(JobEntry job, SliceEntry slice, Slice before, Slice after) {
        if (job.job() != null) {
            JobProgress work = works.get(job.id);
            if (work != null && after != null && !work.launching.isEmpty()) {
                work.launching.removeIf(l -> {
                    boolean seen = l.slice() == slice.number
                            && after.launches() >= l.attempt().number();
                    if (seen) {
                        uncount(l.machine(), l.spec());
                    }
                    return seen;
                });
            }
            diff(job, job.job(), slice, before, after);
        }
    }

    private void diff(JobEntry job, Job spec, SliceEntry slice, Slice before, Slice after) {
        Int2ObjectOpenHashMap<Attempt> was = new Int2ObjectOpenHashMap<>();
        if (before != null) {
            before.attempts().forEach(a -> was.put(a.task(), a));
        }
        if (after != null) {
            for (Attempt a : after.attempts()) {
                Attempt old = was.get(a.task());
                if (old != null && old.number() == a.number()) {
                    was.remove(a.task());
                } else {
                    add(job, spec, slice, a);
                }
            }
        }
        was.values().forEach(a -> remove(job, spec, a));
    }

    private void add(JobEntry job, Job spec, SliceEntry slice, Attempt a) {
        Machine m = of(a.machine());
        Machine.Live live = new Machine.Live(job, slice, a);
        m.live.put(live.key, live);
        m.use.add(spec);
        live.countedFor = Partitions.owner(replica.map(), slice.key, slice.value());
        count(spec, live.countedFor, 1);
        touch(m);
    }

    private void remove(JobEntry job, Job spec, Attempt a) {
        Machine m = of(a.machine());
        Machine.Key key = new Machine.Key(job.id, a.task(), a.number());
        Machine.Live live = m.live.remove(key);
        if (live == null) {
            return;
        }
        if (!live.over) {
            m.use.remove(spec);
        }
        count(spec, live.countedFor, -1);
        m.stops.remove(key);
        JobProgress work = works.get(job.id);
        if (work != null) {
            work.outcomes.remove(key);
        }
        idleFrom(m);
        touch(m);
        dropIfGone(m);
    }

    /** A task's end was reported: its room is free, though its team's limit still counts it until that is durable. */
    void over(Machine m, Machine.Live live) {
        if (!live.over) {
            live.over = true;
            m.use.remove(live.job.job());
        }
    }

    /** Counts a launch from the moment it is decided. */
    void launching(JobEntry job, JobProgress.Launch launch) {
        work(job.id).launching.add(launch);
        settling.add(job.id);
        launch.machine().use.add(launch.spec());
        count(launch.spec(), self, 1);
    }

    private void count(Job spec, String owner, int tasks) {
        use(spec.team()).add(spec, tasks);
        if (owner != null) {
            use(spec.team(), owner).add(spec, tasks);
        }
    }

    private void uncount(Machine m, Job job) {
        m.use.remove(job);
        count(job, self, -1);
        idleFrom(m);
    }

    private void idleFrom(Machine m) {
        if (m.live.isEmpty() && m.use.none()) {
            m.idleSince = context.now();
        }
    }

    /**
     * Takes back what was counted for launches whose write was refused: once the answer is in and the replica has
     * reached it, whatever it does not show by then was not launched.
     */
    void settle() {
        for (Iterator<String> i = settling.iterator(); i.hasNext(); ) {
            String id = i.next();
            JobProgress work = works.get(id);
            if (work != null && work.busy(replica.revision(), Long.MAX_VALUE)) {
                continue;
            }
            i.remove();
            if (work != null) {
                work.launching.forEach(l -> uncount(l.machine(), l.spec()));
                work.launching.clear();
                JobEntry job = replica.job(id);
                if (job == null || job.job() == null) {
                    works.remove(id);
                }
            }
        }
    }

    private void dropIfGone(Machine m) {
        if (m.live.isEmpty() && gone.contains(m.name)) {
            byName.remove(m.name);
            own.remove(m);
            changed.remove(m);
        }
    }

    private void map(Delta.MapChanged d) {
        long was = d.before() == null ? 0 : d.before().incarnation(self);
        boolean kept = d.complete() && was != 0 && was == d.after().incarnation(self);
        byName.values().forEach(m -> settleOwner(m, !kept));
        recount();
    }

    /** Under another map slices have other owners. */
    private void recount() {
        ownerUse.clear();
        for (Machine m : byName.values()) {
            for (Machine.Live l : m.live.values()) {
                l.countedFor = Partitions.owner(replica.map(), l.slice.key, l.slice.value());
                if (l.countedFor != null) {
                    use(l.job.job().team(), l.countedFor).add(l.job.job());
                }
            }
        }
        works.values()
                .forEach(
                        w -> w.launching.forEach(l -> use(l.spec().team(), self).add(l.spec())));
    }

    /** The machine's owner under the present map; one that this controller did not have all along begins anew. */
    private void settleOwner(Machine m, boolean anew) {
        ClusterMap map = replica.map();
        String before = m.owner;
        m.owner = Partitions.owner(map, m.name);
        if (anew || m.owner == null || !m.owner.equals(before)) {
            m.ownerSince = context.now();
        }
        if (!self.equals(m.owner)) {
            own.remove(m);
            changed.remove(m);
            m.heardAt = 0;
        } else if (anew || !self.equals(before)) {
            m.acquire(map.epoch(), context.now());
            own.add(m);
            changed.add(m);
        }
    }

    /** Learns a machine from a list or a peer; a report says more. */
    Machine learn(String name, String address, String type, String zone, boolean spot) {
        if (gone.contains(name)) {
            return null;
        }
        Machine m = of(name);
        if (m.heardAt == 0 || m.type == null) {
            m.isOf(type, zone, spot);
        }
        if (m.address == null) {
            m.address = address;
            touch(m);
        }
        return m;
    }

    void peer(PeerStatus status) {
        peers.put(status.node(), status);
        peersHeardAt.put(status.node(), context.now());
        String start = start(status.node());
        for (PeerStatus.PeerMachine p : status.machines()) {
            Machine m = learn(p.name(), p.address(), p.type(), p.zone(), p.spot());
            if (m != null) {
                m.listedBy = start;
                m.listedAt = context.now();
                if (m.session <= p.session() && !self.equals(m.owner)) {
                    m.sequence = m.session == p.session() ? Math.max(m.sequence, p.sequence()) : p.sequence();
                    m.session = p.session();
                }
            }
        }
    }

    /** Names this start of a controller: one that restarted has not heard its machines yet. */
    String start(String node) {
        long incarnation = replica.map() == null ? 0 : replica.map().incarnation(node);
        return incarnation == 0 ? null : node + "@" + incarnation;
    }

    /** True if the machine's owner, another controller, said within the last few seconds that it takes tasks. */
    boolean listedByOwner(Machine m) {
        return m.listedBy != null
                && m.owner != null
                && context.now() - m.listedAt <= 5000
                && m.listedBy.equals(start(m.owner));
    }

    /** True if a peer said within the last few seconds that it reaches the state service. */
    boolean peersReachState() {
        return peers.keySet().stream()
                .anyMatch(node -> peer(node) != null && peer(node).stateReachable());
    }

    /** True if the controller said something within the given time. */
    boolean heard(String node, long ms) {
        Long at = peersHeardAt.get(node);
        return at != null && context.now() - at <= ms;
    }

    /** True if there are other controllers and none of them was heard within the given time. */
    boolean alone(long ms) {
        return !context.settings().peers().isEmpty()
                && peersHeardAt.values().stream().allMatch(at -> context.now() - at > ms);
    }

    /** What a peer said within the last few seconds, or null. */
    PeerStatus peer(String node) {
        Long at = peersHeardAt.get(node);
        return at == null || context.now() - at > 5000 ? null : peers.get(node);
    }

    /** A machine is at fault once tasks of two jobs failed on it that do not fail everywhere. */
    boolean faulty(Machine m) {
        int blamed = 0;
        for (String job : m.failedJobs) {
            JobProgress work = works.get(job);
            blamed += work == null || !work.faulty() ? 1 : 0;
        }
        return blamed >= 2;
    }

    /** How many types the tasks of a shape fit on and may use. */
    int choices(Job.Shape shape) {
        int n = 0;
        for (MachineType t : types.values()) {
            n += shape.allowsType(t.name()) && t.holds(shape) ? 1 : 0;
        }
        return n;
    }

    /**
     * 1 if an active job with fewer types to choose from could use the type, so that a job of the shape had better go
     * elsewhere; 0 if not.
     */
    int rivals(Job.Shape shape, MachineType type) {
        return rivals.computeIfAbsent(new Rivalry(shape, type.name()), r -> countRivals(shape, type));
    }

    private int countRivals(Job.Shape shape, MachineType type) {
        int choices = choices(shape);
        for (Job.Shape other : shapes.keySet()) {
            if ((other.cpus() != shape.cpus() || other.memoryGb() != shape.memoryGb())
                    && type.holds(other)
                    && other.allowsType(type.name())
                    && choices(other) < choices) {
                return 1;
            }
        }
        return 0;
    }
}
