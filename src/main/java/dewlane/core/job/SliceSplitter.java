package dewlane.core.job;

import dewlane.core.schema.StoredValue.Slice;
import java.util.ArrayList;
import java.util.List;

/** Cuts a slice that was stored under larger limits into runs of tasks that each fit the present ones. */
public final class SliceSplitter {
    private SliceSplitter() {}

    /** The slice in as few runs as are within the limit each; the slice itself if it is. */
    public static List<Slice> split(Slice slice, int limitBytes) {
        if (SliceSizeBound.ofSlice(slice) <= limitBytes) {
            return List.of(slice);
        }
        List<Slice> runs = new ArrayList<>();
        for (int from = 0; from < slice.count(); ) {
            Slice run = longestRun(slice, from, limitBytes);
            runs.add(run);
            from += run.count();
        }
        return runs;
    }

    private static Slice longestRun(Slice slice, int from, int limitBytes) {
        int fits = 1;
        int fitsNot = slice.count() - from + 1;
        while (fitsNot - fits > 1) {
            int middle = (fits + fitsNot) / 2;
            if (SliceSizeBound.ofSlice(slice.subrange(from, middle)) <= limitBytes) {
                fits = middle;
            } else {
                fitsNot = middle;
            }
        }
        return slice.subrange(from, fits);
    }
}
