package dewlane.core.scheduling;

import dewlane.core.fleet.JobProgress;
import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import java.util.Optional;

/**
 * Hands pending tasks over to a partition that has capacity for them.
 *
 * <p>The whole slice is handed over if none of its tasks is on a machine and the other partition has capacity for all
 * of it. Otherwise as many of its last pending tasks as the other partition has capacity for become a slice of that
 * partition. Tasks on a machine are never handed over, because they count against this controller's share of their
 * team's limit.
 */
final class SliceHandover {
    /** Time between two searches for a partition with capacity for the same job. */
    private static final long CHECK_INTERVAL_MS = 400;
    /** Time after a handover during which no more tasks of the job are handed over. */
    private static final long COOLDOWN_MS = 2000;

    private final ControllerContext context;
    private final PartitionSelector partitions;
    private final ControllerCounters counters;

    SliceHandover(ControllerContext context, PartitionSelector partitions, ControllerCounters counters) {
        this.context = context;
        this.partitions = partitions;
        this.counters = counters;
    }

    /**
     * Hands over tasks of the slice if a partition has capacity and the job was not checked or handed over too
     * recently.
     *
     * @return true if tasks are handed over by the update
     */
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
        int trailingPending = value.count() - value.nonPendingTasks().length();
        int moved =
                update.job().job().hasZoneConstraint() ? value.count() : Math.min(trailingPending, target.capacity());
        // A slice whose last task is done has no pending tasks at its end to split off. It is handed over as a whole,
        // even if there is capacity for only a part of it, because its pending tasks would otherwise never leave this
        // partition.
        if (value.attempts().isEmpty() && (moved == value.count() || trailingPending == 0)) {
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
