package dewlane.core.scheduling;

import dewlane.core.fleet.ForgetFence;
import dewlane.core.fleet.JobProgress;
import dewlane.core.fleet.Machine;
import dewlane.core.fleet.MachineRegistry;
import dewlane.core.job.SliceSizeBound;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/** Adds launches of a slice's pending tasks on candidate machines to an update. */
final class SliceLauncher {
    /**
     * Result of launching tasks of a slice.
     *
     * @param count number of tasks that are launched
     * @param sliceFull true if the slice's value has no space for more attempts, even if machines have capacity for
     *     them
     */
    record Result(int count, boolean sliceFull) {
        private static final Result NONE = new Result(0, false);
    }

    private final ControllerContext context;
    private final MachineRegistry machines;
    private final ForgetFence forgetFence;

    SliceLauncher(ControllerContext context, MachineRegistry machines, ForgetFence forgetFence) {
        this.context = context;
        this.machines = machines;
        this.forgetFence = forgetFence;
    }

    /** Launches up to the given number of the slice's pending tasks on the first candidates that have capacity. */
    Result launch(JobUpdate update, SliceEntry slice, List<MachineCandidate> candidates, int maxTasks) {
        Slice value = update.value(slice);
        Optional<ZoneConstraint> zones = zoneConstraint(update.job().job(), value);
        if (maxTasks <= 0 || candidates.isEmpty() || zones.isEmpty()) {
            return Result.NONE;
        }
        SliceLaunch launch = new SliceLaunch(update, slice, zones.get(), maxTasks);
        for (MachineCandidate candidate : candidates) {
            if (launch.isDone()) {
                break;
            }
            launch.launchOn(candidate.machine());
        }
        return launch.commit();
    }

    /**
     * Returns the job's zone constraint, given the attempts of its only slice; empty if the zone of an attempt has not
     * been observed.
     */
    private Optional<ZoneConstraint> zoneConstraint(Job job, Slice slice) {
        ZoneConstraint constraint = new ZoneConstraint(job);
        if (!job.hasZoneConstraint()) {
            return Optional.of(constraint);
        }
        for (Attempt attempt : slice.attempts()) {
            Machine machine = machines.get(attempt.machine());
            if (machine == null || machine.zone() == null) {
                return Optional.empty();
            }
            constraint.add(machine.zone());
        }
        return Optional.of(constraint);
    }

    /** State of launching one slice's tasks while iterating over the candidates. */
    private final class SliceLaunch {
        private final JobUpdate update;
        private final SliceEntry slice;
        private final Slice value;
        private final Job job;
        private final ZoneConstraint zones;
        private final SliceSizeBound size;
        private final BitSet occupied;
        private final List<Attempt> attempts;
        private int nextOffset;
        private int remaining;
        private boolean sliceFull;

        SliceLaunch(JobUpdate update, SliceEntry slice, ZoneConstraint zones, int maxTasks) {
            this.update = update;
            this.slice = slice;
            this.value = update.value(slice);
            this.job = update.job().job();
            this.zones = zones;
            this.size = new SliceSizeBound(value);
            this.occupied = value.nonPendingTasks();
            this.attempts = new ArrayList<>(value.attempts());
            this.nextOffset = occupied.nextClearBit(0);
            this.remaining = maxTasks;
        }

        boolean isDone() {
            return remaining <= 0 || sliceFull;
        }

        void launchOn(Machine machine) {
            int fitting = Math.min(remaining, machine.capacityFor(machines.type(machine), job));
            if (fitting > 0) {
                forgetFence.raiseBeforeLaunch(machine);
            }
            for (int i = 0; i < fitting && zones.allows(machine.zone()); i++) {
                Attempt attempt = nextAttempt(machine);
                if (!size.fits(attempt, context.settings().maxValueBytes())) {
                    sliceFull = true;
                    return;
                }
                add(machine, attempt);
            }
        }

        private Attempt nextAttempt(Machine machine) {
            return new Attempt(
                    value.first() + nextOffset,
                    value.launchCount() + 1,
                    machine.name(),
                    machine.worker().incarnation(),
                    machine.fencingToken(),
                    context.wallClockMs());
        }

        private void add(Machine machine, Attempt attempt) {
            size.add(attempt);
            attempts.add(attempt);
            JobProgress.Launch launch = new JobProgress.Launch(machine, attempt, slice.number(), job);
            update.launch(launch);
            machines.progress().onLaunchDecided(update.job().id(), launch);
            zones.add(machine.zone());
            nextOffset = occupied.nextClearBit(nextOffset + 1);
            remaining--;
        }

        /** Adds the slice with its new attempts to the update. */
        Result commit() {
            int count = attempts.size() - value.attempts().size();
            if (count > 0) {
                update.put(slice, value.withLaunch(context.settings().controllerName(), attempts));
            }
            return new Result(count, sliceFull);
        }
    }
}
