package dewlane.core;

import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import dewlane.core.Value.Deal;
import dewlane.core.Value.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Deals jobs among the parts by free room, as slices of their tasks: few, as each slice costs changes. */
final class JobDistributor {
    /** Keeps a slice's done marks well within the smallest value the state service takes. */
    private static final int MAX_SLICE = 20_000;
    /** Tasks that find no room wait in no more slices than so many each make worth while. */
    private static final int WAITING_SLICE = 150;

    /** A part, the tasks it has room for, and that less what waits there already. */
    record Offer(String node, int room, double spare) {}

    /** How long a count of the parts' room is good enough. */
    private static final long KEEP_MS = 250;

    /** So long a job leaves the room of a part to all that waits there, even to what cannot use it yet. */
    private static final long COURTESY_MS = 30_000;

    /** Jobs that ask the same. */
    private record Asked(Job.Shape shape, Priority priority, String team, boolean waitedLong) {}

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Quota quota;
    private final Map<Asked, List<Offer>> counted = new HashMap<>();
    /** By shape, the tasks that each part has room for. */
    private final Map<Job.Shape, int[]> rooms = new HashMap<>();

    private long countedAt = Long.MIN_VALUE / 2;
    private long countedFor;

    JobDistributor(Context context, Replica replica, Machines machines, Quota quota) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.quota = quota;
    }

    /** What each part offers a job, the one with the most to spare first; asked again soon, it is as it was. */
    private List<Offer> offers(Job job, Job.Shape shape) {
        keepFresh();
        return counted.computeIfAbsent(
                new Asked(shape, job.priority(), job.team(), waitedLong(job)), a -> count(job, shape));
    }

    /** Tasks of the job that each part of the map has room for. */
    int[] rooms(Job job, Job.Shape shape) {
        keepFresh();
        return rooms.computeIfAbsent(shape, k -> {
            List<Member> members = replica.map().members();
            int[] found = new int[members.size()];
            for (Machine m : machines.all()) {
                MachineType type = machines.type(m);
                if (type != null && type.holds(shape) && takesTasks(m) && job.allows(m.type, m.zone, m.spot)) {
                    found[index(members, m.owner)] += m.use.room(type, job);
                }
            }
            return found;
        });
    }

    private void keepFresh() {
        if (context.now() - countedAt > KEEP_MS || replica.mapVersion() != countedFor) {
            counted.clear();
            rooms.clear();
            countedAt = context.now();
            countedFor = replica.mapVersion();
        }
    }

    private List<Offer> count(Job job, Job.Shape shape) {
        List<Member> members = replica.map().members();
        int[] rooms = rooms(job, shape);
        double[] waiting = new double[members.size()];
        double[] taking = new double[members.size()];
        boolean waitedLong = waitedLong(job);
        for (JobEntry other : replica.jobs()) {
            if (other.job() == null || other.aborted() || other.job().priority().compareTo(job.priority()) < 0) {
                continue;
            }
            for (SliceEntry s : other.slices()) {
                int left = s.value().waiting();
                if (left > 0) {
                    int part = index(members, Partitions.owner(replica.map(), s.key, s.value()));
                    double each = other.job().cpus() / Math.max(0.001, job.cpus());
                    waiting[part] += left * each;
                    if (waitedLong && rooms[part] > 0) {
                        taking[part] +=
                                Math.min(left, usable(other, members.get(part).name(), part)) * each;
                    }
                }
            }
        }
        List<Offer> offers = new ArrayList<>();
        for (int i = 0; i < rooms.length; i++) {
            String node = members.get(i).name();
            int allowed = quota.room(job, node);
            double spare = Math.min(rooms[i] - waiting[i], allowed);
            // Large tasks need all that comes free; but a job that has waited for long leaves others no more than they
            // can
            // use now, or it would wait beside room for good.
            double room = waitedLong ? Math.min(rooms[i] - taking[i], allowed) : spare;
            offers.add(new Offer(node, (int) Math.max(0, Math.floor(room)), spare));
        }
        offers.sort(Comparator.comparingDouble(Offer::spare).reversed());
        return offers;
    }

    /** Tasks of a job that waits in a part which could start there now, by their shape, zone and team. */
    private int usable(JobEntry other, String node, int part) {
        return Math.max(0, Math.min(rooms(other.job(), other.shape())[part], quota.room(other.job(), node)));
    }

    private boolean waitedLong(Job job) {
        return context.wall() - job.acceptedMs() > COURTESY_MS;
    }

    private static int index(List<Member> members, String name) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).name().equals(name)) {
                return i;
            }
        }
        throw new IllegalStateException(name + " is not in the map");
    }

    private boolean takesTasks(Machine m) {
        if (m.owner == null || replica.machines().containsKey(m.name)) {
            return false;
        }
        if (m.owner.equals(context.settings().node())) {
            return m.heardWithin(context.now(), context.settings().heardMs())
                    && m.takenAt == 0
                    && m.suspectedSince == 0;
        }
        return machines.listedByOwner(m);
    }

    /**
     * The slices of a new job: one if a part has room for all of it, or else as few as its room is spread over; what
     * finds no room waits where least does.
     */
    List<Deal> deal(Job job) {
        List<Offer> offers = offers(job, job.shape());
        List<Deal> deals = new ArrayList<>();
        if (job.placesLinked()) {
            cut(deals, offers.get(0).node(), 0, job.tasks(), Integer.MAX_VALUE);
            return deals;
        }
        int[] shares = new int[offers.size()];
        int left = job.tasks();
        for (int i = 0; i < shares.length && left > 0; i++) {
            shares[i] = Math.min(left, offers.get(i).room());
            left -= shares[i];
        }
        int waitIn = Math.min(shares.length, (left + WAITING_SLICE - 1) / WAITING_SLICE);
        for (int i = 0; i < waitIn; i++) {
            int share = left / (waitIn - i);
            shares[i] += share;
            left -= share;
        }
        int from = 0;
        for (int i = 0; i < shares.length; i++) {
            cut(deals, offers.get(i).node(), from, from + shares[i], MAX_SLICE);
            from += shares[i];
        }
        if (deals.size() > context.settings().mostSlices()) {
            deals.clear();
            cut(deals, offers.get(0).node(), 0, job.tasks(), MAX_SLICE);
        }
        return deals;
    }

    private static void cut(List<Deal> into, String owner, int from, int to, int most) {
        for (int at = from; at < to; ) {
            int n = Math.min(to - at, most);
            into.add(new Deal(owner, at, n));
            at += n;
        }
    }

    /** The part with the most room for the job, other than the present one, or null if none has any. */
    Offer better(JobEntry job, String than) {
        return offers(job.job(), job.shape()).stream()
                .filter(o -> !o.node().equals(than) && o.room() > 0)
                .findFirst()
                .orElse(null);
    }
}
