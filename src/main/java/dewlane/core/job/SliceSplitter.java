package dewlane.core.job;

import dewlane.core.schema.StoredValue.Slice;
import java.util.ArrayList;
import java.util.List;

/** Splits a slice that was stored under larger limits into subranges of tasks that each fit the present ones. */
public final class SliceSplitter {
    private SliceSplitter() {}

    /**
     * Splits the slice into as few subranges as are within the limit each, in order of tasks. A single task that is
     * above the limit is a subrange of its own.
     *
     * @return the slice itself if it is within the limit
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

    /** Finds by bisection how many tasks from the given one on fit. */
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
