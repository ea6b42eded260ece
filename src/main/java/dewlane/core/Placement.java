package dewlane.core;

import dewlane.core.JobProgress.Outcome;
import dewlane.core.Machine.Key;
import dewlane.core.Machine.Live;
import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import dewlane.core.Value.Slice;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Puts the tasks of this controller's slices on the machines of its part, and makes outcomes of attempts on them
 * durable, whoever owns the slice. Per job one write is under way at a time; it holds all that is to be said.
 *
 * <p>Writes are built when they can be sent: while the rate of changes is short, what is to be said of a job gathers,
 * and one change says more.
 */
final class Placement {
    /** A larger set of machines with room is sampled, not searched. */
    private static final int SAMPLE = 256;
    /** How often a waiting job looks for room in other parts. */
    private static final long LOOK_MS = 400;
    /** How long after it was handed on a job stays where it is. */
    private static final long HANDED_MS = 2000;
    /** Attempts in one write, which must stay below 64 KiB; the rest follows in the next. */
    private static final int MOST_ATTEMPTS = 900;
    /** What an attempt takes of a slice's value at most. */
    private static final int ATTEMPT_BYTES = 50;
    /** Conditions of a launch other than those on its machines: job, map, team and slices. */
    private static final int OTHER_GUARDS = 8;
    /** How long outcomes gather, and how long while the rate of changes is short. */
    private static final long GATHER_MS = 1000;

    private static final long GATHER_SCARCE_MS = 5000;
    /** The same where the team's limit is lent by what is durable. */
    private static final long GATHER_LENT_MS = 3000;
    /** Seconds of fetching that are worth leaving a machine to tasks that have fewer types to choose from. */
    private static final double RIVAL_S = 8;
    /** Seconds of fetching that are worth leaving an ordinary machine idle, so that it can be returned. */
    private static final double ORDINARY_S = 1.5;

    private record Candidate(Machine machine, double cost) {}

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final TransactionQueue transactions;
    private final Release release;
    private final Quota quota;
    private final JobDistributor dealer;
    private final Cancellations cancellations;
    private final Counters counters;
    private final Preemption preemption;
    private final String self;
    private final int maxLive;
    private List<Machine> usable = List.of();
    /** Usable machines that are not full. */
    private final List<Machine> free = new ArrayList<>();
    /** Shapes for which this pass found no room. */
    private final Set<Job.Shape> full = new HashSet<>();

    Placement(
            Context context,
            Replica replica,
            Machines machines,
            Membership membership,
            TransactionQueue transactions,
            Release release,
            Quota quota,
            JobDistributor dealer,
            Cancellations cancellations,
            Counters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.transactions = transactions;
        this.release = release;
        this.quota = quota;
        this.dealer = dealer;
        this.cancellations = cancellations;
        this.counters = counters;
        this.preemption = new Preemption(context, machines, quota);
        this.self = context.settings().node();
        this.maxLive = Math.max(8, context.settings().valueBytes() / ATTEMPT_BYTES);
    }

    /** True if the machine, which must be of this part, can be given tasks. */
    boolean takesTasks(Machine m) {
        return !m.leaving
                && m.type != null
                && machines.type(m) != null
                && m.takenAt == 0
                && m.suspectedSince == 0
                && m.heardWithin(context.now(), context.settings().heardMs())
                && reports(m)
                && (m.failedJobs.isEmpty() || !machines.faulty(m))
                && !replica.machines().containsKey(m.name);
    }

    /**
     * A machine that answers commands but whose reports do not come loses all its tasks when its lease ends. One that
     * has just got this owner has some time to find it.
     */
    private boolean reports(Machine m) {
        return context.now() - Math.max(m.reportedAt, m.ownerSince)
                < context.settings().leaseS() * 500;
    }

    /** Machines of this part that take tasks, as of the latest pass. */
    List<Machine> usable() {
        return usable;
    }

    /** Looks at all jobs for what can be written, at the machines of this part, and at no other. */
    void pass() {
        machines.settle();
        if (!membership.joined()) {
            usable = List.of();
            return;
        }
        usable = new ArrayList<>();
        free.clear();
        full.clear();
        for (Machine m : machines.own()) {
            if (takesTasks(m)) {
                usable.add(m);
                if (m.use.cpus() < machines.type(m).cpus()) {
                    free.add(m);
                }
            }
            if (m.takenAt != 0) {
                saveInTime(m);
            }
            if (!m.live.isEmpty() && machines.isGone(m.name)) {
                takeProof(m);
            }
        }
        boolean launches = membership.reachesState();
        List<JobEntry> order = new ArrayList<>();
        for (String id : release.ready()) {
            JobEntry job = replica.job(id);
            if (job != null && job.job() != null) {
                order.add(job);
            }
        }
        counters.passes++;
        counters.jobsLookedAt += order.size();
        for (JobEntry job : replica.jobs()) {
            if (job.job() != null && !release.isReady(job.id)) {
                step(job, false);
            }
        }
        Set<String> guaranteed = quota.guaranteed(order);
        order.removeIf(j -> !hasToDo(j));
        order.sort(Comparator.comparing((JobEntry j) -> guaranteed.contains(j.id))
                .thenComparing(j -> j.job().priority())
                .reversed());
        preemption.begin(usable, guaranteed);
        for (JobEntry job : order) {
            step(job, launches);
        }
    }

    private boolean hasToDo(JobEntry job) {
        JobProgress work = machines.knownWork(job.id);
        if (work != null && !work.outcomes.isEmpty()) {
            return true;
        }
        for (SliceEntry s : job.slices()) {
            if (s.value().waiting() > 0 && ownsSlice(s, s.value())) {
                return true;
            }
        }
        return job.complete() && ends(job);
    }

    /** Where several controllers made the last outcomes durable, one of them ends the job, so that they do not race. */
    private boolean ends(JobEntry job) {
        return self.equals(Partitions.owner(replica.map(), Keys.job(job.id)));
    }

    private boolean ownsSlice(SliceEntry slice, Slice value) {
        return self.equals(Partitions.owner(replica.map(), slice.key, value));
    }

    /** All that was on a machine that is proven gone is gone. */
    private void takeProof(Machine m) {
        for (Live l : m.live.values()) {
            record(machines.work(l.job.id), l.key, Outcome.GONE);
        }
    }

    /** Notes an outcome that is to be made durable; true if it is the first for the attempt. */
    boolean record(JobProgress work, Key key, Outcome outcome) {
        if (work.outcomes.isEmpty()) {
            work.outcomesSince = context.now();
        }
        return work.outcomes.putIfAbsent(key, outcome) == null;
    }

    /** Tasks on a machine that is soon taken away save as late as is safe. */
    private void saveInTime(Machine m) {
        for (Live l : m.live.values()) {
            Job job = l.job.job();
            if (job.checkpointS() > 0
                    && m.takenAt - context.now() < (job.saveS() + 5) * 1000
                    && m.stops.putIfAbsent(l.key, job.saveS() + 1) == null) {
                machines.touch(m);
            }
        }
    }

    private void step(JobEntry job, boolean launches) {
        JobProgress work = machines.work(job.id);
        if (work.busy(replica.revision()) || !transactions.open(TransactionQueue.Urgency.OUTCOME)) {
            return;
        }
        Map<SliceEntry, Slice> next = new LinkedHashMap<>();
        int room = MOST_ATTEMPTS;
        for (SliceEntry slice : job.slices()) {
            Slice after = room > 0 ? applyOutcomes(job, slice.value(), work) : slice.value();
            if (after != slice.value()) {
                next.put(slice, after);
                room -= after.attempts().size();
            }
        }
        Transaction.Builder txn = new Transaction.Builder();
        List<JobProgress.Launch> launched = new ArrayList<>();
        boolean decided = false;
        if (job.aborted() ? noneLive(job, next) : allDone(job, next)) {
            if (next.isEmpty() && !ends(job)) {
                return;
            }
            if (!job.aborted()) {
                txn.set(Keys.fin(job.id), new Value.FinalRecord(false, context.wall()));
            }
            finish(job, txn);
        } else {
            if (!cancellations.ended(job)
                    && launches
                    && context.now() >= work.notBefore
                    && transactions.open(TransactionQueue.Urgency.LAUNCH)) {
                decided = launch(job, work, next, txn, launched, room);
            }
            if (decided || !mayGather(job.job(), work, next)) {
                next.forEach(
                        (slice, value) -> txn.when(slice.key, slice.version()).set(slice.key, value));
            }
        }
        if (txn.writes() > 0) {
            write(job, work, txn, launched);
        }
    }

    /**
     * Outcomes of tasks whose slice has others running can wait for more, as each change is read by every controller:
     * the room of what ended is free already. Not so under a limit that is lent by what is durable.
     */
    private boolean mayGather(Job spec, JobProgress work, Map<SliceEntry, Slice> next) {
        boolean lent = quota.lends(spec);
        long most = transactions.scarce() ? lent ? GATHER_LENT_MS : GATHER_SCARCE_MS : lent ? 0 : GATHER_MS;
        return context.now() - work.outcomesSince < most
                && work.outcomes.values().stream().allMatch(o -> o == Outcome.DONE)
                && next.values().stream().anyMatch(s -> !s.attempts().isEmpty());
    }

    /** Removes what is held of a job that is over; its final state stays. */
    private void finish(JobEntry job, Transaction.Builder txn) {
        txn.when(Keys.job(job.id), job.version()).delete(Keys.job(job.id));
        for (SliceEntry slice : job.slices()) {
            txn.when(slice.key, slice.version());
            if (slice.version() != 0) {
                txn.delete(slice.key);
            }
        }
    }

    private void write(JobEntry job, JobProgress work, Transaction.Builder txn, List<JobProgress.Launch> launched) {
        work.writing = true;
        // What comes from now on gathers anew: the outcomes of this write stay listed until the replica shows them.
        work.outcomesSince = context.now();
        Job spec = job.job();
        boolean counted = !launched.isEmpty();
        TransactionQueue.Urgency urgency = counted ? TransactionQueue.Urgency.LAUNCH : TransactionQueue.Urgency.OUTCOME;
        transactions.submit(urgency, txn.build(), (status, revision) -> {
            work.writing = false;
            work.settled = revision;
            if (status == Transaction.Status.COMMITTED) {
                counters.launched += launched.size();
            }
            if (counted) {
                quota.answered(spec, revision);
            }
        });
    }

    private Slice applyOutcomes(JobEntry job, Slice slice, JobProgress work) {
        if (work.outcomes.isEmpty() || slice.attempts().isEmpty()) {
            return slice;
        }
        BitSet done = slice.done();
        List<Attempt> left = new ArrayList<>();
        for (Attempt a : slice.attempts()) {
            Outcome outcome = work.outcomes.get(new Key(job.id, a.task(), a.number()));
            if (outcome == null) {
                left.add(a);
            } else if (outcome == Outcome.DONE) {
                done = done == slice.done() ? (BitSet) done.clone() : done;
                done.set(a.task() - slice.first());
            }
        }
        return left.size() == slice.attempts().size()
                ? slice
                : new Slice(slice.owner(), slice.first(), slice.count(), slice.launches(), done, List.copyOf(left));
    }

    private static boolean noneLive(JobEntry job, Map<SliceEntry, Slice> next) {
        return job.slices().stream()
                .allMatch(s -> next.getOrDefault(s, s.value()).attempts().isEmpty());
    }

    private static boolean allDone(JobEntry job, Map<SliceEntry, Slice> next) {
        int done = 0;
        for (SliceEntry s : job.slices()) {
            done += next.getOrDefault(s, s.value()).done().cardinality();
        }
        return done == job.job().tasks();
    }

    /** True if something is to be written: launches, or tasks handed to another part. */
    private boolean launch(
            JobEntry job,
            JobProgress work,
            Map<SliceEntry, Slice> next,
            Transaction.Builder txn,
            List<JobProgress.Launch> launched,
            int roomInWrite) {
        Job spec = job.job();
        if (quota.busy(spec)) {
            return false;
        }
        boolean anyHanded = false;
        Set<String> used = new HashSet<>();
        List<Candidate> candidates = null;
        int room = roomInWrite;
        for (SliceEntry slice : job.slices()) {
            Slice value = next.getOrDefault(slice, slice.value());
            if (room <= 0) {
                break;
            }
            if (value.waiting() <= 0 || !ownsSlice(slice, value)) {
                continue;
            }
            if (candidates == null) {
                candidates = full.contains(job.shape()) ? List.of() : candidates(job, spec);
            }
            int most = Math.min(
                    Math.min(value.waiting(), maxLive - value.attempts().size()), Math.min(room, quota.room(spec)));
            List<Attempt> live = place(job, slice, value, candidates, most, used, launched);
            int unplaced = value.waiting() - (live.size() - value.attempts().size());
            boolean stuck = unplaced > 0 && live.size() - value.attempts().size() < most;
            if (stuck && used.isEmpty() && !spec.placesLinked() && work.errors == 0) {
                // Room only shrinks during a pass, so further jobs of the shape need not look for it.
                full.add(job.shape());
            }
            boolean handed = false;
            if (live.size() > value.attempts().size()) {
                room -= live.size();
                next.put(
                        slice,
                        new Slice(
                                self,
                                value.first(),
                                value.count(),
                                value.launches() + 1,
                                value.done(),
                                List.copyOf(live)));
            } else if (launched.isEmpty() && unplaced > 0 && quota.spare(spec)) {
                handed = handOver(job, work, slice, value, next, txn);
                anyHanded |= handed;
            }
            if (stuck && !handed) {
                preemption.makeRoom(job, Math.min(unplaced, quota.room(spec)));
            }
        }
        if (launched.isEmpty() && !anyHanded) {
            return false;
        }
        // A cancelled job, a slice dealt anew, a machine being returned or a newer map each stop the launch here.
        txn.when(Keys.job(job.id), job.version()).when(Keys.MAP, replica.mapVersion());
        used.forEach(name -> txn.when(Keys.machine(name), 0));
        if (!launched.isEmpty()) {
            quota.guard(txn, spec);
        }
        return true;
    }

    /** The slice's attempts with up to {@code most} new ones on the cheapest machines. */
    private List<Attempt> place(
            JobEntry job,
            SliceEntry slice,
            Slice value,
            List<Candidate> candidates,
            int most,
            Set<String> used,
            List<JobProgress.Launch> launched) {
        Job spec = job.job();
        List<Attempt> live = new ArrayList<>(value.attempts());
        Map<String, Integer> zones = spec.placesLinked() ? zonesOf(live) : Map.of();
        if (most <= 0 || candidates.isEmpty() || zones == null) {
            return live;
        }
        BitSet taken = value.taken();
        int offset = taken.nextClearBit(0);
        int number = value.launches() + 1;
        int left = most;
        for (Candidate c : candidates) {
            Machine m = c.machine;
            if (left <= 0
                    || !used.contains(m.name)
                            && used.size() >= 4 * context.settings().txnOps() - OTHER_GUARDS) {
                break;
            }
            int here = Math.min(left, m.room(machines.type(m), spec));
            while (here-- > 0 && zoneAllowed(spec, zones, m.zone)) {
                Attempt a = new Attempt(value.first() + offset, number, m.name, m.session, m.token(), context.wall());
                live.add(a);
                JobProgress.Launch launch = new JobProgress.Launch(m, a, slice.number, spec);
                launched.add(launch);
                machines.launching(job, launch);
                used.add(m.name);
                if (spec.placesLinked()) {
                    zones.merge(m.zone, 1, Integer::sum);
                }
                offset = taken.nextClearBit(offset + 1);
                left--;
            }
        }
        return live;
    }

    /**
     * Hands waiting tasks to a part with room: the whole slice if nothing of it is on a machine and all of it finds
     * room, or else as many of its last tasks as wait there and find room, as a slice of their own. What is on a
     * machine never changes hands this way, as it counts against the share of its team's limit that this controller
     * has.
     */
    private boolean handOver(
            JobEntry job,
            JobProgress work,
            SliceEntry slice,
            Slice value,
            Map<SliceEntry, Slice> next,
            Transaction.Builder txn) {
        Job spec = job.job();
        if (context.now() - work.handedAt < HANDED_MS || context.now() - work.lookedAt < LOOK_MS) {
            return false;
        }
        work.lookedAt = context.now();
        JobDistributor.Offer to = dealer.better(job, self);
        if (to == null) {
            return false;
        }
        int tail = value.count() - value.taken().length();
        int moved = spec.placesLinked() ? value.count() : Math.min(tail, to.room());
        // Tasks that wait before others that are done can only go with the whole slice, or they would wait here for
        // ever.
        if (value.attempts().isEmpty() && (moved == value.count() || tail == 0)) {
            next.put(
                    slice,
                    new Slice(
                            to.node(), value.first(), value.count(), value.launches(), value.done(), value.attempts()));
        } else if (moved > 0
                && moved < value.count()
                && job.slices().size() < context.settings().mostSlices()) {
            int first = value.first() + value.count() - moved;
            next.put(
                    slice,
                    new Slice(
                            value.owner(),
                            value.first(),
                            value.count() - moved,
                            value.launches(),
                            value.done(),
                            value.attempts()));
            String key = Keys.slice(job.id, job.nextSlice());
            txn.when(key, 0).set(key, new Slice(to.node(), first, moved, value.launches(), new BitSet(), List.of()));
        } else {
            return false;
        }
        work.handedAt = context.now();
        counters.handed++;
        context.debug("handing tasks of " + slice.key + " to " + to.node());
        return true;
    }

    /** Machines with room for a task of the job, the cheapest first. */
    private List<Candidate> candidates(JobEntry job, Job spec) {
        List<Candidate> found = new ArrayList<>();
        Map<String, double[]> byType = new HashMap<>();
        int n = free.size();
        int offset = n > SAMPLE ? context.random().nextInt(n) : 0;
        counters.machinesLookedAt += Math.min(n, SAMPLE);
        for (int i = 0; i < Math.min(n, SAMPLE); i++) {
            Machine m = free.get((offset + i) % n);
            MachineType type = machines.type(m);
            if (m.room(type, spec) < 1
                    || !spec.allows(m.type, m.zone, m.spot)
                    || (m.failedJobs.contains(job.id) && !machines.work(job.id).faulty())) {
                continue;
            }
            double[] of = byType.computeIfAbsent(m.type, t ->
                    new double[] {spec.imageGb() / type.fetchGbPerS(), machines.rivals(job.shape(), type) * RIVAL_S});
            found.add(new Candidate(
                    m,
                    (m.spot ? 0 : ORDINARY_S)
                            + (m.hasImage(spec.image()) ? 0 : of[0])
                            + of[1]
                            + 2 * (type.cpus() - m.use.cpus() - spec.cpus()) / type.cpus()));
        }
        found.sort(Comparator.comparingDouble(Candidate::cost));
        return found;
    }

    /** Live tasks a zone, or null if the zone of one is not known. */
    private Map<String, Integer> zonesOf(List<Attempt> live) {
        Map<String, Integer> zones = new HashMap<>();
        for (Attempt a : live) {
            Machine m = machines.get(a.machine());
            if (m == null || m.zone == null) {
                return null;
            }
            zones.merge(m.zone, 1, Integer::sum);
        }
        return zones;
    }

    private static boolean zoneAllowed(Job spec, Map<String, Integer> zones, String zone) {
        if (spec.oneZone() && !zones.isEmpty() && !zones.containsKey(zone)) {
            return false;
        }
        return !spec.spread() || zones.getOrDefault(zone, 0) < (spec.tasks() + 1) / 2;
    }
}
