package dewlane.core;

import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import dewlane.core.Value.Member;
import dewlane.core.Value.Slice;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Deals jobs among the parts by free room, as slices of their tasks. */
final class Dealer {
    /** Keeps a slice's done marks well within the smallest value the state service takes. */
    private static final int MAX_SLICE = 20_000;

    private final Context context;
    private final Replica replica;
    private final Machines machines;

    Dealer(Context context, Replica replica, Machines machines) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
    }

    /** Tasks of the job that each part's free room would take, less what waits there already. */
    Map<String, Integer> rooms(Job job) {
        Map<String, Integer> rooms = new LinkedHashMap<>();
        Map<String, Double> waiting = new LinkedHashMap<>();
        for (Member member : replica.map().members()) {
            rooms.put(member.name(), 0);
            waiting.put(member.name(), 0.0);
        }
        for (Machine m : machines.all()) {
            MachineType type = machines.type(m.type);
            String owner = Parts.owner(replica.map(), m.name);
            if (type != null && takesTasks(m, owner) && job.allows(m.type, m.zone, m.spot)) {
                rooms.merge(owner, roomOn(m, type, job), Integer::sum);
            }
        }
        for (JobEntry other : replica.jobs()) {
            if (other.job() == null || other.aborted() || other.job().priority().compareTo(job.priority()) < 0) {
                continue;
            }
            for (SliceEntry s : other.slices()) {
                int left = s.value().count() - s.value().done().cardinality() - s.value().attempts().size();
                waiting.merge(Parts.owner(replica.map(), s.key, s.value()),
                        left * other.job().cpus() / Math.max(0.001, job.cpus()), Double::sum);
            }
        }
        rooms.replaceAll((node, room) -> (int) Math.max(0, room - Math.ceil(waiting.getOrDefault(node, 0.0))));
        return rooms;
    }

    private boolean takesTasks(Machine m, String owner) {
        if (replica.machines().containsKey(m.name)) {
            return false;
        }
        if (owner.equals(context.settings().node())) {
            return m.heardWithin(context.now(), 8000) && m.takenAt == 0;
        }
        PeerStatus peer = machines.peer(owner);
        return peer != null && peer.machines().stream().anyMatch(p -> p.name().equals(m.name));
    }

    static int roomOn(Machine m, MachineType type, Job job) {
        double n = Math.min(left(type.cpus() - m.usedCpus, job.cpus()),
                Math.min(left(type.gpus() - m.usedGpus, job.gpus()), left(type.memoryGb() - m.usedMemory, job.memoryGb())));
        return (int) Math.max(0, n);
    }

    private static double left(double free, double each) {
        return each <= 0 ? 1_000_000 : Math.floor(free / each + 1e-9);
    }

    /** The slices of a new job: one if a part has room for all of it, or else one a part, by free room. */
    List<Slice> deal(Job job) {
        Map<String, Integer> rooms = rooms(job);
        String best = context.settings().node();
        for (Map.Entry<String, Integer> e : rooms.entrySet()) {
            if (e.getValue() > rooms.getOrDefault(best, -1)) {
                best = e.getKey();
            }
        }
        List<Slice> slices = new ArrayList<>();
        if (job.placesLinked() || rooms.size() < 2 || job.tasks() == 1
                || (rooms.getOrDefault(best, 0) >= job.tasks() && job.tasks() <= MAX_SLICE)) {
            cut(slices, best, 0, job.tasks(), job.placesLinked() ? Integer.MAX_VALUE : MAX_SLICE);
            return slices;
        }
        double total = 0;
        for (int room : rooms.values()) {
            total += room + 1;
        }
        int from = 0;
        double share = 0;
        for (Map.Entry<String, Integer> e : rooms.entrySet()) {
            share += (e.getValue() + 1) / total;
            int to = (int) Math.min(job.tasks(), Math.round(share * job.tasks()));
            cut(slices, e.getKey(), from, to, MAX_SLICE);
            from = Math.max(from, to);
        }
        return slices;
    }

    private static void cut(List<Slice> into, String owner, int from, int to, int most) {
        for (int at = from; at < to; ) {
            int n = Math.min(to - at, most);
            into.add(new Slice(owner, at, n, 0, new BitSet(), List.of()));
            at += n;
        }
    }

    /** A part with room for more of the job than nothing, other than the present one, or null. */
    String better(Job job, String than) {
        String best = null;
        int most = 0;
        for (Map.Entry<String, Integer> e : rooms(job).entrySet()) {
            if (!e.getKey().equals(than) && e.getValue() > most) {
                best = e.getKey();
                most = e.getValue();
            }
        }
        return best;
    }
}
