package dewlane.core;

import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All machines heard of, whoever owns them, with what the replica and the writes under way put on them. */
final class Machines {
    private record Rivalry(Job.Shape shape, String type) { }

    private final Context context;
    private final Replica replica;
    private final Map<String, Machine> byName = new LinkedHashMap<>();
    private final Set<String> gone = new HashSet<>();
    private long indexed = -1;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<String, Work> works = new HashMap<>();
    private final Map<String, double[]> teamUse = new HashMap<>();
    /** As of the latest count of what is on the machines: the question is asked for every task and machine. */
    private final Map<Rivalry, Integer> rivals = new HashMap<>();
    /** Machines that the other controllers last said take tasks. */
    private final Map<String, PeerStatus> peers = new HashMap<>();
    private final Map<String, Long> peersHeardAt = new HashMap<>();

    Machines(Context context, Replica replica) {
        this.context = context;
        this.replica = replica;
    }

    void catalog(List<MachineType> read) {
        types.clear();
        for (MachineType t : read) {
            types.put(t.name(), t);
        }
    }

    Collection<MachineType> types() {
        return types.values();
    }

    MachineType type(String name) {
        return types.get(name);
    }

    Machine get(String name) {
        return byName.get(name);
    }

    Machine of(String name) {
        return byName.computeIfAbsent(name, n -> new Machine(n, context.now()));
    }

    Collection<Machine> all() {
        return byName.values();
    }

    boolean isGone(String name) {
        return gone.contains(name);
    }

    Work work(String job) {
        return works.computeIfAbsent(job, j -> new Work());
    }

    Map<String, Work> works() {
        return works;
    }

    /** CPUs and GPUs that a team's tasks may be using, gone ones included until the proof is durable. */
    double[] use(String team) {
        return teamUse.computeIfAbsent(team, t -> new double[2]);
    }

    /** Learns a machine from a list or a peer; a report says more. */
    Machine learn(String name, String address, String type, String zone, boolean spot) {
        if (gone.contains(name)) {
            return null;
        }
        Machine m = of(name);
        if (m.heardAt == 0 || m.type == null) {
            m.type = type;
            m.zone = zone;
            m.spot = spot;
        }
        if (m.address == null) {
            m.address = address;
        }
        return m;
    }

    void peer(PeerStatus status) {
        peers.put(status.node(), status);
        peersHeardAt.put(status.node(), context.now());
        for (PeerStatus.PeerMachine p : status.machines()) {
            Machine m = learn(p.name(), p.address(), p.type(), p.zone(), p.spot());
            if (m != null) {
                m.listedBy = start(status.node());
            }
            if (m != null && m.heardAt == 0) {
                m.session = Math.max(m.session, p.session());
            }
        }
    }

    /** Names this start of a controller: one that restarted has not heard its machines yet. */
    String start(String node) {
        for (Value.Member member : replica.map() == null ? List.<Value.Member>of() : replica.map().members()) {
            if (member.name().equals(node)) {
                return node + "@" + member.incarnation();
            }
        }
        return null;
    }

    /** True if a peer said within the last few seconds that it reaches the state service. */
    boolean peersReachState() {
        return peers.keySet().stream().anyMatch(node -> peer(node) != null && peer(node).stateReachable());
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
            Work work = works.get(job);
            blamed += work == null || !work.faulty() ? 1 : 0;
        }
        return blamed >= 2;
    }

    /** How many types the job's tasks fit on and may use. */
    int choices(Job job) {
        int n = 0;
        for (MachineType t : types.values()) {
            n += job.allowsType(t.name()) && t.fits(job) > 0 ? 1 : 0;
        }
        return n;
    }

    /**
     * 1 if an active job with fewer types to choose from could use the type, so that this job had better go
     * elsewhere; 0 if not.
     */
    int rivals(Job job, MachineType type) {
        return rivals.computeIfAbsent(new Rivalry(job.shape(), type.name()), r -> countRivals(job, type));
    }

    private int countRivals(Job job, MachineType type) {
        int choices = choices(job);
        for (JobEntry other : replica.jobs()) {
            Job o = other.job();
            if (o != null && !other.aborted() && (o.cpus() != job.cpus() || o.memoryGb() != job.memoryGb())
                    && type.fits(o) > 0 && o.allowsType(type.name())
                    && choices(o) < choices) {
                return 1;
            }
        }
        return 0;
    }

    /**
     * Recomputes if the replica has moved on. An attempt that the replica holds but the index does not would be taken
     * for a stranger, and stopped or forgotten.
     */
    void refresh() {
        if (indexed != replica.revision()) {
            reindex();
        }
    }

    /** Recomputes what is on every machine. Attempts count until their end is durable. */
    void reindex() {
        indexed = replica.revision();
        replica.machines().forEach((name, entry) -> {
            if (entry.record().fate() == Value.MachineFate.GONE) {
                gone.add(name);
            }
        });
        for (Machine m : byName.values()) {
            m.live.clear();
            m.usedCpus = 0;
            m.usedGpus = 0;
            m.usedMemory = 0;
        }
        teamUse.clear();
        rivals.clear();
        for (JobEntry job : replica.jobs()) {
            if (job.job() == null) {
                continue;
            }
            for (SliceEntry slice : job.slices()) {
                for (Attempt a : slice.value().attempts()) {
                    count(of(a.machine()), job.job());
                    of(a.machine()).live.add(new Machine.Live(job, slice, a));
                }
            }
        }
        works.entrySet().removeIf(e -> {
            JobEntry job = replica.job(e.getKey());
            Work work = e.getValue();
            if (job == null || job.job() == null) {
                return !work.writing;
            }
            if (!work.busy(replica.revision())) {
                work.launching = List.of();
            }
            for (Work.Launch l : work.launching) {
                if (!seen(job, l)) {
                    count(l.machine(), job.job());
                }
            }
            work.outcomes.keySet().removeIf(k -> !isLive(job, k));
            return false;
        });
        byName.values().removeIf(m -> m.live.isEmpty() && gone.contains(m.name));
        for (Machine m : byName.values()) {
            if (m.usedCpus > 0 || m.usedMemory > 0) {
                m.idleSince = context.now();
            }
        }
    }

    private void count(Machine m, Job job) {
        m.use(job);
        double[] use = use(job.team());
        use[0] += job.cpus();
        use[1] += job.gpus();
    }

    private static boolean seen(JobEntry job, Work.Launch launch) {
        for (SliceEntry s : job.slices()) {
            if (s.number == launch.slice()) {
                return s.value().launches() >= launch.attempt().number();
            }
        }
        return true;
    }

    private static boolean isLive(JobEntry job, Machine.Key key) {
        SliceEntry slice = job.sliceOf(key.task());
        Attempt a = slice == null ? null : slice.value().attemptOf(key.task());
        return a != null && a.number() == key.number();
    }
}
