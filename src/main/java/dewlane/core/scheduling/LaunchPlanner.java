package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.SliceSizeBound;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.quota.QuotaEnforcer;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans launches of a job's waiting tasks on the machines of this part, hands tasks on to parts with room, and has room
 * made by preemption where neither helps.
 */
public final class LaunchPlanner {
    /** How often a waiting job looks for room in other parts. */
    private static final long HANDOVER_CHECK_MS = 400;
    /** How long after it was handed on a job stays where it is. */
    private static final long HANDOVER_COOLDOWN_MS = 2000;
    /** Attempts in one write, which must stay below 64 KiB; the rest follows in the next. */
    private static final int MAX_ATTEMPTS_PER_WRITE = 900;

    /**
     * A slice's attempts after a launch.
     *
     * @param writeFull true if the write or the slice holds no more, though there may be machines for it
     */
    private record Placed(List<Attempt> live, boolean writeFull) {}

    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineRegistry machines;
    private final QuotaEnforcer quota;
    private final SliceAssigner distributor;
    private final ControllerCounters counters;
    private final Preemptor preemption;
    private final CandidateFinder candidates;
    private final String self;
    /** Shapes for which this pass found no room. */
    private final Set<Job.Requirements> full = new HashSet<>();

    public LaunchPlanner(
            ControllerContext context,
            StoreReplica replica,
            MachineRegistry machines,
            QuotaEnforcer quota,
            SliceAssigner distributor,
            ControllerCounters counters) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.quota = quota;
        this.distributor = distributor;
        this.counters = counters;
        this.preemption = new Preemptor(context, machines, quota);
        this.candidates = new CandidateFinder(context, machines, counters);
        this.self = context.settings().controllerName();
    }

    /** Begins a pass over all jobs. */
    void beginCycle(List<Machine> usable, List<Machine> free, Set<String> guaranteed) {
        full.clear();
        candidates.beginCycle(free);
        preemption.beginCycle(usable, guaranteed);
    }

    /** Adds launches to the write, or tasks that are handed to another part. */
    void plan(JobUpdate update) {
        JobEntry job = update.job;
        if (quota.isLaunchInFlight(job.job())) {
            return;
        }
        boolean anyHanded = false;
        int attempts = attemptsIn(update);
        for (SliceEntry slice : job.slices()) {
            Slice value = update.value(slice);
            int room = MAX_ATTEMPTS_PER_WRITE - attempts;
            if (room <= 0) {
                break;
            }
            if (value.pendingCount() > 0 && owns(slice, value) && update.mayChange(slice)) {
                anyHanded |= planSlice(update, slice, room);
                attempts += update.value(slice).attempts().size();
            }
        }
        if (anyHanded) {
            update.requireJobAndMap();
        }
    }

    private static int attemptsIn(JobUpdate update) {
        int sum = 0;
        for (Slice slice : update.changed().values()) {
            sum += slice.attempts().size();
        }
        return sum;
    }

    private boolean owns(SliceEntry slice, Slice value) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), slice.key(), value));
    }

    /** Plans launches of one slice; true if tasks of it are handed on instead. */
    private boolean planSlice(JobUpdate update, SliceEntry slice, int room) {
        JobEntry job = update.job;
        Job spec = job.job();
        Slice value = update.value(slice);
        boolean noneBefore = update.usesNoMachine();
        List<Candidate> found = full.contains(job.requirements()) ? List.of() : candidates.find(job);
        int most = Math.min(value.pendingCount(), Math.min(room, quota.capacityFor(spec)));
        Placed placed = place(update, slice, value, found, most);
        List<Attempt> live = placed.live();
        int launched = live.size() - value.attempts().size();
        int unplaced = value.pendingCount() - launched;
        boolean stuck = unplaced > 0 && launched < most && !placed.writeFull();
        if (stuck && noneBefore && launched == 0 && !spec.hasZoneConstraint() && update.progress.failureCount() == 0) {
            // Room only shrinks during a pass, so further jobs of the shape need not look for it.
            full.add(job.requirements());
        }
        boolean handed = false;
        if (launched > 0) {
            update.put(slice, value.withLaunch(self, live));
        } else if (update.launches.isEmpty() && unplaced > 0 && quota.hasCapacity(spec)) {
            handed = handOver(update, slice, value);
        }
        if (stuck && !handed) {
            preemption.makeRoom(job, Math.min(unplaced, quota.capacityFor(spec)));
        }
        return handed;
    }

    /** The slice's attempts with up to {@code most} new ones on the cheapest machines. */
    private Placed place(JobUpdate update, SliceEntry slice, Slice value, List<Candidate> found, int most) {
        Job spec = update.job.job();
        List<Attempt> live = new ArrayList<>(value.attempts());
        Map<String, Integer> zones = spec.hasZoneConstraint() ? zonesOf(live) : Map.of();
        if (most <= 0 || found.isEmpty() || zones == null) {
            return new Placed(live, false);
        }
        SliceSizeBound size = new SliceSizeBound(value);
        BitSet taken = value.occupied();
        int offset = taken.nextClearBit(0);
        int left = most;
        for (Candidate candidate : found) {
            Machine machine = candidate.machine();
            if (left <= 0) {
                break;
            }
            int here = Math.min(left, machine.capacityFor(machines.type(machine), spec));
            while (here-- > 0 && zoneAllowed(spec, zones, machine.zone())) {
                Attempt attempt = new Attempt(
                        value.first() + offset,
                        value.launchCount() + 1,
                        machine.name(),
                        machine.worker().incarnation(),
                        machine.fencingToken(),
                        context.wallClockMs());
                if (!size.fits(attempt, context.settings().maxValueBytes())) {
                    return new Placed(live, true);
                }
                size.add(attempt);
                live.add(attempt);
                JobProgress.Launch launch = new JobProgress.Launch(machine, attempt, slice.number(), spec);
                update.launch(launch);
                machines.progress().launchDecided(update.job.id(), launch);
                if (spec.hasZoneConstraint()) {
                    zones.merge(machine.zone(), 1, Integer::sum);
                }
                offset = taken.nextClearBit(offset + 1);
                left--;
            }
        }
        return new Placed(live, false);
    }

    /**
     * Hands waiting tasks to a part with room: the whole slice if nothing of it is on a machine and all of it finds
     * room, or else as many of its last tasks as wait there and find room, as a slice of their own. What is on a
     * machine never changes hands this way, as it counts against the share of its team's limit that this controller
     * has.
     */
    private boolean handOver(JobUpdate update, SliceEntry slice, Slice value) {
        JobProgress work = update.progress;
        Job spec = update.job.job();
        if (context.nowMs() - work.handedOverAtMs() < HANDOVER_COOLDOWN_MS
                || context.nowMs() - work.handoverCheckedAtMs() < HANDOVER_CHECK_MS) {
            return false;
        }
        work.markHandoverChecked(context.nowMs());
        SliceAssigner.Offer to = distributor.findBetterPartition(update.job, self);
        if (to == null) {
            return false;
        }
        int tail = value.count() - value.occupied().length();
        int moved = spec.hasZoneConstraint() ? value.count() : Math.min(tail, to.capacity());
        // Tasks that wait before others that are done can only go with the whole slice, or they would wait here for
        // ever.
        if (value.attempts().isEmpty() && (moved == value.count() || tail == 0)) {
            update.put(slice, value.withOwner(to.controller()));
        } else if (moved > 0
                && moved < value.count()
                && update.remainingWrites() >= 2
                && update.job.slices().size() < context.settings().maxSlicesPerJob()) {
            int kept = value.count() - moved;
            update.put(slice, value.subrange(0, kept));
            update.create(value.subrange(kept, moved).withOwner(to.controller()));
        } else {
            return false;
        }
        work.markHandedOver(context.nowMs());
        counters.increment(Counter.HANDOVERS);
        context.debug("handing tasks of " + slice.key() + " to " + to.controller());
        return true;
    }

    /** Live tasks a zone, or null if the zone of one is not known. */
    private Map<String, Integer> zonesOf(List<Attempt> live) {
        Map<String, Integer> zones = new HashMap<>();
        for (Attempt attempt : live) {
            Machine machine = machines.get(attempt.machine());
            if (machine == null || machine.zone() == null) {
                return null;
            }
            zones.merge(machine.zone(), 1, Integer::sum);
        }
        return zones;
    }

    private static boolean zoneAllowed(Job spec, Map<String, Integer> zones, String zone) {
        if (spec.sameZone() && !zones.isEmpty() && !zones.containsKey(zone)) {
            return false;
        }
        return !spec.spreadZones() || zones.getOrDefault(zone, 0) < (spec.tasks() + 1) / 2;
    }
}
