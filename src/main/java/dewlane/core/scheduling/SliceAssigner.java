package dewlane.core.scheduling;

import dewlane.core.fleet.MachineRegistry;
import dewlane.core.fleet.PartitionCapacity;
import dewlane.core.job.DependencyGraph;
import dewlane.core.job.SliceSizeBound;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.Priority;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.Member;
import dewlane.core.schema.StoredValue.SliceAssignment;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Deals jobs among the parts by free room, as slices of their tasks: few, as each slice costs changes. */
public final class SliceAssigner {
    /** Keeps a slice's done marks well within the smallest value the state service takes. */
    private static final int MAX_TASKS_PER_SLICE = 20_000;
    /** Tasks that find no room wait in no more slices than so many each make worth while. */
    private static final int MIN_WAITING_TASKS_PER_SLICE = 150;

    /** A part, the tasks it has room for, and that less what waits there already. */
    record Offer(String controller, int capacity, double spare) {}

    /** So long a job leaves the room of a part to all that waits there, even to what cannot use it yet. */
    private static final long YIELD_PERIOD_MS = 30_000;

    /** Jobs that ask the same. */
    private record Asked(Job.Requirements shape, Priority priority, String team, boolean waitedLong) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final PartitionCapacity capacity;
    private final QuotaEnforcer quota;
    private final DependencyGraph release;
    private final Map<Asked, List<Offer>> counted = new HashMap<>();
    /** The generation of the capacity that the offers were made from. */
    private long countedGeneration;

    public SliceAssigner(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            PartitionCapacity capacity,
            QuotaEnforcer quota,
            DependencyGraph release) {
        this.release = release;
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.capacity = capacity;
        this.quota = quota;
    }

    /** What each part offers a job, the one with the most to spare first; asked again soon, it is as it was. */
    private List<Offer> offers(Job job, Asked asked) {
        long generation = capacity.refresh();
        if (generation != countedGeneration) {
            counted.clear();
            countedGeneration = generation;
        }
        return counted.computeIfAbsent(asked, a -> count(job, a));
    }

    private static Asked newJob(Job job) {
        return new Asked(job.requirements(), job.priority(), job.team(), false);
    }

    private Asked waiting(JobEntry job) {
        return new Asked(job.requirements(), job.priority(), job.job().team(), waitedLong(job));
    }

    private List<Offer> count(Job job, Asked asked) {
        List<Member> members = replica.partitionMap().members();
        int[] rooms = capacity.byPartition(job, asked.shape());
        double[] waiting = new double[members.size()];
        double[] taking = new double[members.size()];
        boolean waitedLong = asked.waitedLong();
        for (JobEntry other : replica.jobs()) {
            if (other.job() == null
                    || !release.isReady(other.id())
                    || other.priority().compareTo(asked.priority()) < 0) {
                continue;
            }
            for (SliceEntry slice : other.slices()) {
                int left = slice.value().pendingCount();
                if (left > 0) {
                    int part = PartitionCapacity.indexOf(
                            members, Partitioner.ownerOf(replica.partitionMap(), slice.key(), slice.value()));
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
            int allowed = quota.capacityFor(job, node);
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
        return Math.max(
                0,
                Math.min(
                        capacity.byPartition(other.job(), other.requirements())[part],
                        quota.capacityFor(other.job(), node)));
    }

    private boolean waitedLong(JobEntry job) {
        return context.wallClockMs() - job.waitingSinceMs() > YIELD_PERIOD_MS;
    }

    /**
     * The slices of a new job: one if a part has room for all of it, or else as few as its room is spread over; what
     * finds no room waits where least does. A slice holds no more tasks than its value can tell of at once.
     */
    public List<SliceAssignment> assign(Job job) {
        List<Offer> offers = offers(job, newJob(job));
        List<SliceAssignment> deals = new ArrayList<>();
        if (job.hasZoneConstraint()) {
            cut(deals, offers.get(0).controller(), 0, job.tasks(), Integer.MAX_VALUE);
            return deals;
        }
        int[] shares = shares(job, offers);
        int most = Math.max(1, context.settings().maxSlicesPerJob());
        int perSlice = Math.min(MAX_TASKS_PER_SLICE, tasksPerSlice(job));
        while (slices(shares, perSlice) > most && perSlice < job.tasks()) {
            perSlice = Math.min(job.tasks(), 2 * perSlice);
        }
        if (slices(shares, perSlice) > most) {
            shares = new int[] {job.tasks()};
        }
        int from = 0;
        for (int i = 0; i < shares.length; i++) {
            cut(deals, offers.get(i).controller(), from, from + shares[i], perSlice);
            from += shares[i];
        }
        return deals;
    }

    /** All of a job's tasks as one slice, for a record that has no room for more. */
    public List<SliceAssignment> assignWhole(Job job) {
        return List.of(new SliceAssignment(offers(job, newJob(job)).get(0).controller(), 0, job.tasks()));
    }

    /** How many tasks go to each part. */
    private static int[] shares(Job job, List<Offer> offers) {
        int[] shares = new int[offers.size()];
        int left = job.tasks();
        for (int i = 0; i < shares.length && left > 0; i++) {
            shares[i] = Math.min(left, offers.get(i).capacity());
            left -= shares[i];
        }
        int waitIn = Math.min(shares.length, (left + MIN_WAITING_TASKS_PER_SLICE - 1) / MIN_WAITING_TASKS_PER_SLICE);
        for (int i = 0; i < waitIn; i++) {
            int share = left / (waitIn - i);
            shares[i] += share;
            left -= share;
        }
        return shares;
    }

    private static int slices(int[] shares, int perSlice) {
        int sum = 0;
        for (int share : shares) {
            sum += (share + perSlice - 1) / perSlice;
        }
        return sum;
    }

    /** Tasks whose attempts one value holds, on machines that are half free. */
    private int tasksPerSlice(Job job) {
        int types = 0;
        int fit = 0;
        for (MachineType type : machines.types()) {
            if (job.allowsType(type.name()) && type.capacityFor(job) > 0) {
                types++;
                fit += type.capacityFor(job);
            }
        }
        int perMachine = types == 0 ? 1 : Math.max(1, fit / types / 2);
        return SliceSizeBound.tasksWithin(context.settings().maxValueBytes(), perMachine);
    }

    /** Cuts tasks into runs of about equal length. */
    private static void cut(List<SliceAssignment> into, String owner, int from, int to, int most) {
        int runs = (int) (((long) to - from + most - 1) / most);
        int at = from;
        for (int left = runs; left > 0; left--) {
            int count = (to - at) / left;
            into.add(new SliceAssignment(owner, at, count));
            at += count;
        }
    }

    /** The part with the most room for the job, other than the present one, or null if none has any. */
    Offer findBetterPartition(JobEntry job, String than) {
        return offers(job.job(), waiting(job)).stream()
                .filter(o -> !o.controller().equals(than) && o.capacity() > 0)
                .findFirst()
                .orElse(null);
    }
}
