package dewlane.core;

import dewlane.core.Machine.Key;
import dewlane.core.Machine.Live;
import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import dewlane.core.Value.Slice;
import dewlane.core.Work.Outcome;
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
 */
final class Placement {
    /** A larger set of machines is sampled, not searched. */
    private static final int SAMPLE = 64;
    /** How often a waiting job looks for room in other parts. */
    private static final long LOOK_MS = 400;
    /** Attempts in one write, which must stay below 64 KiB; the rest follows in the next. */
    private static final int MOST_ATTEMPTS = 300;
    /** Seconds of fetching that are worth leaving a machine to tasks that have fewer types to choose from. */
    private static final double RIVAL_S = 8;

    private final Context context;
    private final Replica replica;
    private final Machines machines;
    private final Membership membership;
    private final Journaller journaller;
    private final Release release;
    private final Quota quota;
    private final Dealer dealer;
    private final Attempts attempts;
    private final Preemption preemption;
    private final String self;
    private final int maxLive;
    private List<Machine> usable = List.of();
    /** Shapes for which this pass found no room. */
    private final Set<Job.Shape> full = new HashSet<>();

    Placement(Context context, Replica replica, Machines machines, Membership membership, Journaller journaller,
              Release release, Quota quota, Dealer dealer, Attempts attempts) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.membership = membership;
        this.journaller = journaller;
        this.release = release;
        this.quota = quota;
        this.dealer = dealer;
        this.attempts = attempts;
        this.preemption = new Preemption(context, machines, quota);
        this.self = context.settings().node();
        this.maxLive = Math.max(8, context.settings().valueBytes() / 200);
    }

    /** True if the machine, which must be of this part, can be given tasks. */
    boolean takesTasks(Machine m) {
        return m.type != null && machines.type(m.type) != null && m.takenAt == 0 && !machines.faulty(m)
                && m.heardWithin(context.now(), (long) (context.settings().reportS() * 1800))
                && !replica.machines().containsKey(m.name) && attempts.owns(m.name);
    }

    /** Machines of this part that take tasks, as of the latest pass. */
    List<Machine> usable() {
        return usable;
    }

    /** Looks at everything once. */
    void pass() {
        machines.reindex();
        if (!membership.joined()) {
            usable = List.of();
            return;
        }
        usable = new ArrayList<>();
        full.clear();
        for (Machine m : machines.all()) {
            if (takesTasks(m)) {
                usable.add(m);
            }
            saveInTime(m);
            takeProof(m);
        }
        for (JobEntry job : List.copyOf(replica.jobs())) {
            if (job.job() != null && !release.isReady(job.id)) {
                step(job, false);
            }
        }
        boolean launches = membership.silence() < 2000 && !journaller.congested();
        List<JobEntry> order = new ArrayList<>();
        for (String id : release.ready()) {
            JobEntry job = replica.job(id);
            if (job != null && job.job() != null) {
                order.add(job);
            }
        }
        Set<String> guaranteed = quota.guaranteed(order);
        order.sort(Comparator.comparing((JobEntry j) -> guaranteed.contains(j.id))
                .thenComparing(j -> j.job().priority()).reversed());
        preemption.begin(usable, guaranteed);
        for (JobEntry job : order) {
            step(job, launches);
        }
    }

    /** All that was on a machine that is proven gone is gone. */
    private void takeProof(Machine m) {
        Replica.MachineEntry entry = replica.machines().get(m.name);
        if (entry != null && entry.record().fate() == Value.MachineFate.GONE && attempts.owns(m.name)) {
            for (Live l : m.live) {
                machines.work(l.job().id).outcomes.putIfAbsent(l.key(), Outcome.GONE);
            }
        }
    }

    /** Tasks on a machine that is soon taken away save as late as is safe. */
    private void saveInTime(Machine m) {
        if (m.takenAt == 0) {
            return;
        }
        for (Live l : m.live) {
            Job job = l.job().job();
            if (job.checkpointS() > 0 && m.takenAt - context.now() < (job.saveS() + 5) * 1000) {
                m.stops.putIfAbsent(l.key(), job.saveS() + 1);
            }
        }
    }

    private void step(JobEntry job, boolean launches) {
        Work work = machines.work(job.id);
        if (work.busy(replica.revision())) {
            return;
        }
        Map<SliceEntry, Slice> next = new LinkedHashMap<>();
        int room = MOST_ATTEMPTS;
        for (SliceEntry slice : job.slices()) {
            Slice after = room > 0 ? applyOutcomes(slice.value(), work) : slice.value();
            if (after != slice.value()) {
                next.put(slice, after);
                room -= after.attempts().size();
            }
        }
        Txn.Builder txn = new Txn.Builder();
        List<Work.Launch> launched = new ArrayList<>();
        if (job.aborted()) {
            if (noneLive(job, next)) {
                finish(job, txn);
            }
        } else if (allDone(job, next)) {
            txn.set(Keys.fin(job.id), new Value.FinalRecord(false, context.wall()));
            finish(job, txn);
        } else if (launches && context.now() >= work.notBefore) {
            launch(job, work, next, txn, launched, room);
        }
        if (txn.writes() == 0 || !launched.isEmpty()) {
            next.forEach((slice, value) -> txn.when(slice.key, slice.version()).set(slice.key, value));
        }
        if (txn.writes() > 0) {
            write(job, work, txn, launched);
        }
    }

    /** Removes what is held of a job that is over; its final state stays. */
    private void finish(JobEntry job, Txn.Builder txn) {
        txn.when(Keys.job(job.id), job.version()).delete(Keys.job(job.id));
        for (SliceEntry slice : job.slices()) {
            txn.when(slice.key, slice.version()).delete(slice.key);
        }
    }

    private void write(JobEntry job, Work work, Txn.Builder txn, List<Work.Launch> launched) {
        work.writing = true;
        work.launching = launched;
        Job spec = job.job();
        boolean counted = !launched.isEmpty();
        Journaller.Urgency urgency = counted ? Journaller.Urgency.LAUNCH : Journaller.Urgency.OUTCOME;
        journaller.submit(urgency, txn.build(), (status, revision) -> {
            work.writing = false;
            work.settled = revision;
            if (counted) {
                quota.answered(spec, revision);
            }
        });
    }

    private Slice applyOutcomes(Slice slice, Work work) {
        if (work.outcomes.isEmpty() || slice.attempts().isEmpty()) {
            return slice;
        }
        BitSet done = slice.done();
        List<Attempt> left = new ArrayList<>();
        for (Attempt a : slice.attempts()) {
            Outcome outcome = outcomeOf(work, a);
            if (outcome == null) {
                left.add(a);
            } else if (outcome == Outcome.DONE) {
                done = done == slice.done() ? (BitSet) done.clone() : done;
                done.set(a.task() - slice.first());
            }
        }
        return left.size() == slice.attempts().size() ? slice
                : new Slice(slice.owner(), slice.first(), slice.count(), slice.launches(), done, List.copyOf(left));
    }

    private static Outcome outcomeOf(Work work, Attempt a) {
        for (Map.Entry<Key, Outcome> e : work.outcomes.entrySet()) {
            if (e.getKey().task() == a.task() && e.getKey().number() == a.number()) {
                return e.getValue();
            }
        }
        return null;
    }

    private static boolean noneLive(JobEntry job, Map<SliceEntry, Slice> next) {
        return job.slices().stream().allMatch(s -> next.getOrDefault(s, s.value()).attempts().isEmpty());
    }

    private static boolean allDone(JobEntry job, Map<SliceEntry, Slice> next) {
        int done = 0;
        for (SliceEntry s : job.slices()) {
            done += next.getOrDefault(s, s.value()).done().cardinality();
        }
        return done == job.job().tasks();
    }

    private void launch(JobEntry job, Work work, Map<SliceEntry, Slice> next, Txn.Builder txn,
                        List<Work.Launch> launched, int roomInWrite) {
        Job spec = job.job();
        if (quota.busy(spec)) {
            return;
        }
        Job.Shape shape = spec.shape();
        Set<String> used = new HashSet<>();
        int room = roomInWrite;
        for (SliceEntry slice : job.slices()) {
            Slice value = next.getOrDefault(slice, slice.value());
            if (room <= 0) {
                break;
            }
            if (!self.equals(Parts.owner(replica.map(), slice.key, slice.value())) || value.complete()) {
                continue;
            }
            List<Attempt> live = new ArrayList<>(value.attempts());
            int number = value.launches() + 1;
            boolean stuck = false;
            for (int task = value.first(); task < value.first() + value.count() && live.size() < maxLive; task++) {
                if (value.isDone(task) || value.attemptOf(task) != null) {
                    continue;
                }
                Machine m = used.size() >= context.settings().txnOps() * 2 || quota.room(spec) < 1 || full.contains(shape)
                        ? null : choose(job, live, spec);
                if (m == null) {
                    // Room only shrinks during a pass, so further jobs of the shape need not look for it.
                    if (!spec.placesLinked() && work.errors == 0 && quota.room(spec) > 0 && used.isEmpty()) {
                        full.add(shape);
                    }
                    stuck = true;
                    break;
                }
                Attempt a = new Attempt(task, number, m.name, m.session, attempts.token(m), context.wall());
                live.add(a);
                launched.add(new Work.Launch(m, a, slice.number));
                used.add(m.name);
                m.use(spec);
                quota.add(spec);
            }
            int unplaced = value.count() - value.done().cardinality() - live.size();
            boolean handed = false;
            if (live.size() > value.attempts().size()) {
                room -= live.size();
                next.put(slice, new Slice(self, value.first(), value.count(), number, value.done(), List.copyOf(live)));
            } else if (stuck && quota.room(spec) > 0 && launched.isEmpty()
                    && context.now() - work.handedAt > 2000 && context.now() - work.lookedAt > LOOK_MS) {
                work.lookedAt = context.now();
                String to = dealer.better(spec, self);
                handed = to != null;
                if (handed) {
                    work.handedAt = context.now();
                    context.debug("handing " + slice.key + " to " + to);
                    next.put(slice, new Slice(to, value.first(), value.count(), value.launches(), value.done(),
                            value.attempts()));
                }
            }
            if (stuck && !handed) {
                preemption.makeRoom(job, Math.min(unplaced, quota.room(spec)));
            }
        }
        if (!launched.isEmpty()) {
            // A cancelled job, a slice dealt anew, a machine being returned or a newer map each stop the launch here.
            txn.when(Keys.job(job.id), job.version()).when(Keys.MAP, replica.mapVersion());
            used.forEach(name -> txn.when(Keys.machine(name), 0));
            quota.guard(txn, spec);
        }
    }

    private Machine choose(JobEntry job, List<Attempt> slice, Job spec) {
        Map<String, Integer> zones = spec.placesLinked() ? zonesOf(slice) : Map.of();
        if (zones == null) {
            return null;
        }
        Machine best = null;
        double bestCost = 0;
        int n = usable.size();
        int offset = n > SAMPLE ? context.random().nextInt(n) : 0;
        for (int i = 0; i < Math.min(n, SAMPLE); i++) {
            Machine m = usable.get((offset + i) % n);
            MachineType type = machines.type(m.type);
            if (!spec.allows(m.type, m.zone, m.spot) || !m.fits(type, spec) || !zoneAllowed(spec, zones, m.zone)
                    || (m.failedJobs.contains(job.id) && !machines.work(job.id).faulty())) {
                continue;
            }
            double cost = (m.hasImage(spec.image()) ? 0 : spec.imageGb() / type.fetchGbPerS())
                    + machines.rivals(spec, type) * RIVAL_S
                    + 2 * (type.cpus() - m.usedCpus - spec.cpus()) / type.cpus();
            if (best == null || cost < bestCost) {
                best = m;
                bestCost = cost;
            }
        }
        return best;
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
