package dewlane.core.job;

import dewlane.core.schema.StoredValue.Slice;
import java.util.ArrayList;
import java.util.List;

/** Splits a slice that was stored under a larger size limit into slices that are within the present limit. */
public final class SliceSplitter {
    private SliceSplitter() {}

    /**
     * Splits the slice into as few subranges as possible that are within the limit, in order of tasks. A single task
     * that exceeds the limit becomes a subrange.
     *
     * @return the subranges, or just the slice itself if it is within the limit
     */
    public static List<Slice> split(Slice slice, int limitBytes) {
        if (SliceSizeBound.ofSlice(slice) <= limitBytes) {
            return List.of(slice);
        }
        List<Slice> subranges = new ArrayList<>();
        for (int from = 0; from < slice.count(); ) {
            Slice subrange = largestWithin(slice, from, limitBytes);
            subranges.add(subrange);
            from += subrange.count();
        }
        return subranges;
    }

    /** Finds by binary search the longest subrange from the given task that is within the limit. */
    private static Slice largestWithin(Slice slice, int from, int limitBytes) {
        int fitting = 1;
        int exceeding = slice.count() - from + 1;
        while (exceeding - fitting > 1) {
            int middle = (fitting + exceeding) / 2;
            if (SliceSizeBound.ofSlice(slice.subrange(from, middle)) <= limitBytes) {
                fitting = middle;
            } else {
                exceeding = middle;
            }
        }
        return slice.subrange(from, fitting);
    }
}
