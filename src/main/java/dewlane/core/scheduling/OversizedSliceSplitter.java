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
 * Brings slices that were stored under larger limits within the present ones.
 *
 * <p>A slice that a few pieces hold is split at once. One that needs more is split by new slices for its last tasks,
 * group by group, while it keeps its stored value until the rest fits: see {@link StoreReplica}. Version 0.1 would not
 * understand that, so while it may run, the slice's own value shrinks piece by piece, above the coming limit but below
 * what is stored.
 */
public final class OversizedSliceSplitter {
    /** No slice with fewer attempts and done marks is near the size that a value may have. */
    private static final int MIN_BYTES_PER_ENTRY = 64;

    private final ControllerContext context;
    private final PartitionOwnership ownership;
    private final Membership membership;
    private final TransactionQueue transactions;

    /** Splits slices to the limits of the context's settings. */
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
        return entries * MIN_BYTES_PER_ENTRY > context.settings().maxValueBytes();
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
            // Its outcomes are written once it is split: as it is, no value may be so large.
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
            // What the new slices take over must be in no launch that is still on its way: the owner alone does this,
            // under the partition map.
            pieces.subList(pieces.size() - writes, pieces.size()).forEach(update::create);
            update.dependOn(slice);
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
