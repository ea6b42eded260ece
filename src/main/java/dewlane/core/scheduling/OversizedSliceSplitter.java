package dewlane.core.scheduling;

import dewlane.core.job.SliceSplitter;
import dewlane.core.membership.Membership;
import dewlane.core.message.ControllerContext;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import dewlane.core.store.TransactionQueue;
import java.util.List;

/**
 * Splits slices that were stored under larger limits, so that each value is within the smaller one of the limits in
 * force and to come.
 *
 * <p>A slice is split by one transaction if all its pieces fit into it. Otherwise new slices take over its last tasks,
 * as many per transaction as fit, while the stored value of the slice is kept until the remaining tasks fit into one
 * value: see {@link StoreReplica}. Version 0.1 does not understand slices with overlapping tasks. While it may run,
 * each transaction also shortens the slice itself, to a value that may still exceed that limit but is smaller than the
 * stored one.
 */
public final class OversizedSliceSplitter {
    /**
     * Upper estimate of the bytes that an attempt or done mark takes. The exact size is computed only for slices that
     * may exceed the limit by this estimate.
     */
    private static final int MAX_BYTES_PER_ENTRY = 64;

    private final ControllerContext context;
    private final PartitionOwnership ownership;
    private final Membership membership;
    private final TransactionQueue transactions;

    /** Creates a splitter for the limits in the context's settings. */
    public OversizedSliceSplitter(
            ControllerContext context,
            PartitionOwnership ownership,
            Membership membership,
            TransactionQueue transactions) {
        this.context = context;
        this.ownership = ownership;
        this.membership = membership;
        this.transactions = transactions;
    }

    /**
     * Adds pieces of the job's oversized slices to the update.
     *
     * @return true if a slice is split, so that the update has to be written
     */
    boolean splitOversized(JobUpdate update) {
        boolean split = false;
        for (SliceEntry slice : update.job().slices()) {
            if (mayExceedLimit(update.value(slice))) {
                split |= splitIfOversized(update, slice);
            }
        }
        return split;
    }

    private boolean mayExceedLimit(Slice slice) {
        int entries = slice.attempts().size() + slice.done().cardinality();
        return entries * MAX_BYTES_PER_ENTRY > context.settings().maxValueBytes();
    }

    private boolean splitIfOversized(JobUpdate update, SliceEntry slice) {
        Slice value = update.value(slice);
        boolean owned = ownership.ownsSlice(slice, value);
        if (!owned && !update.hasOutcomes(slice)) {
            return false;
        }
        List<Slice> pieces = SliceSplitter.split(value, context.settings().maxValueBytes());
        if (pieces.size() == 1) {
            return false;
        }
        if (!putPieces(update, slice, pieces, owned)) {
            // The slice exceeds the limit, so its outcomes can only be written once it is split.
            update.discardOutcomes(slice);
            return false;
        }
        context.info("splitting " + slice.key() + ", which exceeds the value limit, into " + pieces.size());
        return true;
    }

    private boolean putPieces(JobUpdate update, SliceEntry slice, List<Slice> pieces, boolean owned) {
        int writes = update.remainingWrites();
        if (pieces.size() <= writes) {
            update.put(slice, pieces.get(0));
            pieces.subList(1, pieces.size()).forEach(update::create);
        } else if (owned && (membership.allControllersUpgraded() || transactions.isReducedValueLimitDetected())) {
            // No launch of the tasks that the new slices take over may be in flight. Only the owner launches them, so
            // only the owner splits the slice this way, on condition that the partition map is unchanged.
            pieces.subList(pieces.size() - writes, pieces.size()).forEach(update::create);
            update.requireUnchanged(slice);
        } else if (writes >= 2) {
            Slice value = update.value(slice);
            List<Slice> last = pieces.subList(pieces.size() - writes + 1, pieces.size());
            update.put(slice, value.subrange(0, last.get(0).first() - value.first()));
            last.forEach(update::create);
        } else {
            return false;
        }
        return true;
    }
}
