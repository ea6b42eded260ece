package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import java.util.Optional;

/**
 * Hands pending tasks over to a partition with capacity for them.
 *
 * <p>The whole slice is handed over if none of it is on a machine and all of it finds capacity; otherwise as many of
 * its last tasks as are pending and find capacity there, as a slice of their own. What is on a machine is never handed
 * over, as it counts against the share of its team's limit that this controller has.
 */
final class SliceHandover {
    /** How often a pending job looks for capacity in other partitions. */
    private static final long CHECK_INTERVAL_MS = 400;
    /** How long after a handover nothing more of the job is handed over. */
    private static final long COOLDOWN_MS = 2000;

    private final ControllerContext context;
    private final PartitionSelector partitions;
    private final ControllerCounters counters;

    SliceHandover(ControllerContext context, PartitionSelector partitions, ControllerCounters counters) {
        this.context = context;
        this.partitions = partitions;
        this.counters = counters;
    }

    /** Hands over tasks of the slice, if it is time to look for a partition and one has capacity; true if it did. */
    boolean tryHandOver(JobUpdate update, SliceEntry slice) {
        JobProgress progress = update.progress();
        if (context.nowMs() - progress.handedOverAtMs() < COOLDOWN_MS
                || context.nowMs() - progress.handoverCheckedAtMs() < CHECK_INTERVAL_MS) {
            return false;
        }
        progress.markHandoverChecked(context.nowMs());
        Optional<PartitionCandidate> target =
                partitions.findOther(update.job(), context.settings().controllerName());
        if (target.isEmpty() || !handOver(update, slice, target.get())) {
            return false;
        }
        progress.markHandedOver(context.nowMs());
        counters.increment(Counter.HANDOVERS);
        context.debug(
                "handing over tasks of " + slice.key() + " to " + target.get().controller());
        return true;
    }

    private boolean handOver(JobUpdate update, SliceEntry slice, PartitionCandidate target) {
        Slice value = update.value(slice);
        int tail = value.count() - value.nonPendingTasks().length();
        int moved = update.job().job().hasZoneConstraint() ? value.count() : Math.min(tail, target.capacity());
        // Tasks that are pending before others that are done can only go with the whole slice, or they would stay here
        // for ever.
        if (value.attempts().isEmpty() && (moved == value.count() || tail == 0)) {
            update.put(slice, value.withOwner(target.controller()));
            return true;
        }
        if (moved > 0 && moved < value.count() && maySplit(update)) {
            int remaining = value.count() - moved;
            update.put(slice, value.subrange(0, remaining));
            update.create(value.subrange(remaining, moved).withOwner(target.controller()));
            return true;
        }
        return false;
    }

    private boolean maySplit(JobUpdate update) {
        return update.remainingWrites() >= 2
                && update.job().slices().size() < context.settings().maxSlicesPerJob();
    }
}
