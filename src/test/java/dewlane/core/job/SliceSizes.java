package dewlane.core.job;

import dewlane.core.schema.StoredValue.Slice;
import java.util.List;

/** Lets tests of other packages see how slices are measured and cut. */
public final class SliceSizes {
    private SliceSizes() {}

    /** The most bytes that the slice may come to take. */
    public static int bound(Slice slice) {
        return SliceSizeBound.ofSlice(slice);
    }

    /** The slice in runs within the limit. */
    public static List<Slice> split(Slice slice, int limitBytes) {
        return SliceSplitter.split(slice, limitBytes);
    }
}
