package dewlane.core.fleet;

import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All machines heard of, whoever owns them, with what the replica and the writes under way put on them. It follows the
 * replica change by change: nothing here is counted anew.
 */
public final class MachineRegistry {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final PeerTable peers;
    private final String self;
    private final Map<String, Machine> byName = new LinkedHashMap<>();
    /** Machines of this controller's part. */
    private final Set<Machine> own = new LinkedHashSet<>();
    /** Machines of this part for which there may be something to command. */
    private final Set<Machine> changed = new LinkedHashSet<>();

    private final Set<String> gone = new HashSet<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final TeamUsage teamUsage = new TeamUsage();
    private final JobProgressTable progress;
    private final MachineTypeContention rivalry = new MachineTypeContention(types);

    public MachineRegistry(ControllerContext context, StoreReplica replica, PeerTable peers) {
        this.context = context;
        this.replica = replica;
        this.peers = peers;
        this.self = context.settings().node();
        this.progress = new JobProgressTable(context, replica, teamUsage);
    }

    public void catalog(List<MachineType> read) {
        types.clear();
        rivalry.typesChanged();
        for (MachineType t : read) {
            types.put(t.name(), t);
        }
        byName.values().forEach(m -> m.kind = null);
    }

    public Collection<MachineType> types() {
        return types.values();
    }

    /** Which jobs could use which types. */
    public MachineTypeContention rivalry() {
        return rivalry;
    }

    public MachineType type(String name) {
        return types.get(name);
    }

    /** The machine's type, or null while it is not known. */
    public MachineType type(Machine m) {
        if (m.kind == null && m.type != null) {
            m.kind = types.get(m.type);
        }
        return m.kind;
    }

    public Machine get(String name) {
        return byName.get(name);
    }

    public Machine of(String name) {
        Machine m = byName.get(name);
        if (m == null) {
            m = new Machine(name, context.now());
            byName.put(name, m);
            settleOwner(m, true);
        }
        return m;
    }

    public Collection<Machine> all() {
        return byName.values();
    }

    /** Machines of this controller's part. */
    public Collection<Machine> own() {
        return own;
    }

    /** Something about the machine may call for a command. */
    public void touch(Machine m) {
        if (self.equals(m.owner)) {
            changed.add(m);
        }
    }

    public Collection<Machine> changed() {
        return changed;
    }

    public boolean isGone(String name) {
        return gone.contains(name);
    }

    /** What this controller is doing for each job. */
    public JobProgressTable progress() {
        return progress;
    }

    /** What the teams' tasks may be using. */
    public TeamUsage teamUsage() {
        return teamUsage;
    }

    public void follow(ReplicaChange delta) {
        if (delta instanceof ReplicaChange.SliceChanged d) {
            slice(d.job(), d.slice(), d.before(), d.after());
        } else if (delta instanceof ReplicaChange.JobChanged d) {
            job(d);
        } else if (delta instanceof ReplicaChange.PartitionMapChanged d) {
            map(d);
        } else if (delta instanceof ReplicaChange.MachineDecommissioned d) {
            fate(d.name(), d.after().fate());
        }
    }

    private void fate(String name, StoredValue.DecommissionState fate) {
        Machine m = byName.get(name);
        if (fate == StoredValue.DecommissionState.GONE) {
            gone.add(name);
            if (m != null) {
                dropIfGone(m);
            }
        } else if (fate == StoredValue.DecommissionState.RETURN && m != null) {
            m.returned = true;
        }
    }

    private void job(ReplicaChange.JobChanged d) {
        JobEntry job = d.job();
        if (d.before() == null && d.after() != null) {
            rivalry.came(d.after().job().shape());
            job.slices().forEach(s -> diff(job, job.job(), s, null, s.value()));
        } else if (d.before() != null && d.after() == null) {
            rivalry.went(d.before().job().shape());
            job.slices().forEach(s -> diff(job, d.before().job(), s, s.value(), null));
            progress.over(job.id);
        } else if (d.after() != null && d.after().aborted()) {
            touchAll(job);
        }
    }

    /** There may be something to command wherever the job has attempts. */
    public void touchAll(JobEntry job) {
        job.slices().forEach(s -> s.value().attempts().forEach(a -> touch(of(a.machine()))));
    }

    private void slice(JobEntry job, SliceEntry slice, Slice before, Slice after) {
        if (job.job() != null) {
            progress.shown(job.id, slice.number, after);
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
        Machine.AssignedAttempt live = new Machine.AssignedAttempt(job, slice, a);
        m.live.put(live.key, live);
        m.use.add(spec);
        live.countedFor = Partitioner.owner(replica.map(), slice.key, slice.value());
        teamUsage.add(spec, live.countedFor, 1);
        touch(m);
    }

    private void remove(JobEntry job, Job spec, Attempt a) {
        Machine m = of(a.machine());
        Machine.AttemptId key = new Machine.AttemptId(job.id, a.task(), a.number());
        Machine.AssignedAttempt live = m.live.remove(key);
        if (live == null) {
            return;
        }
        if (!live.over) {
            m.use.remove(spec);
        }
        teamUsage.add(spec, live.countedFor, -1);
        m.stops.remove(key);
        JobProgress work = progress.known(job.id);
        if (work != null) {
            work.outcomes.remove(key);
        }
        m.idleIfEmpty(context.now());
        touch(m);
        dropIfGone(m);
    }

    /** A task's end was reported: its room is free, though its team's limit still counts it until that is durable. */
    public void over(Machine m, Machine.AssignedAttempt live) {
        if (!live.over) {
            live.over = true;
            m.use.remove(live.job.job());
        }
    }

    private void dropIfGone(Machine m) {
        if (m.live.isEmpty() && gone.contains(m.name)) {
            byName.remove(m.name);
            own.remove(m);
            changed.remove(m);
        }
    }

    private void map(ReplicaChange.PartitionMapChanged d) {
        long was = d.before() == null ? 0 : d.before().incarnation(self);
        boolean kept = d.complete() && was != 0 && was == d.after().incarnation(self);
        byName.values().forEach(m -> settleOwner(m, !kept));
        recount();
    }

    /** Under another map slices have other owners. */
    private void recount() {
        teamUsage.forgetOwners();
        for (Machine m : byName.values()) {
            for (Machine.AssignedAttempt l : m.live.values()) {
                l.countedFor = Partitioner.owner(replica.map(), l.slice.key, l.slice.value());
                teamUsage.addToOwner(l.job.job(), l.countedFor, 1);
            }
        }
        progress.countLaunchesAnew();
    }

    /** The machine's owner under the present map; one that this controller did not have all along begins anew. */
    private void settleOwner(Machine m, boolean anew) {
        PartitionMap map = replica.map();
        String before = m.owner;
        m.owner = Partitioner.owner(map, m.name);
        if (anew || m.owner == null || !m.owner.equals(before)) {
            m.ownerSince = context.now();
        }
        if (!self.equals(m.owner)) {
            own.remove(m);
            changed.remove(m);
            m.reachability.handedOn();
        } else if (anew || !self.equals(before)) {
            m.acquire(map.epoch(), context.now());
            own.add(m);
            changed.add(m);
        }
    }

    /** Learns a machine from a list or a peer; a report says more. */
    public Machine learn(String name, String address, String type, String zone, boolean spot) {
        if (gone.contains(name)) {
            return null;
        }
        Machine m = of(name);
        if (!m.reachability.everConfirmed() || m.type == null) {
            m.isOf(type, zone, spot);
        }
        if (m.address == null) {
            m.address = address;
            touch(m);
        }
        return m;
    }

    /** Learns the machines that a peer told of. */
    public void learnFrom(PeerStatus status) {
        String start = peers.start(status.node());
        for (PeerStatus.MachineStatus p : status.machines()) {
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

    /** True if the machine's owner, another controller, said within the last few seconds that it takes tasks. */
    public boolean listedByOwner(Machine m) {
        return m.listedBy != null
                && m.owner != null
                && context.now() - m.listedAt <= 5000
                && m.listedBy.equals(peers.start(m.owner));
    }

    /** A machine is at fault once tasks of two jobs failed on it that do not fail everywhere. */
    public boolean faulty(Machine m) {
        int blamed = 0;
        for (String job : m.failedJobs) {
            JobProgress work = progress.known(job);
            blamed += work == null || !work.faulty() ? 1 : 0;
        }
        return blamed >= 2;
    }
}
