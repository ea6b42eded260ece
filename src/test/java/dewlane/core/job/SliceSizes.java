package dewlane.core.job;

import dewlane.core.schema.StoredValue.Slice;
import java.util.List;

/** Gives tests of other packages access to the size bound and the splitting of slices. */
public final class SliceSizes {
    private SliceSizes() {}

    /** Returns the upper bound of the size of the slice in bytes. */
    public static int bound(Slice slice) {
        return SliceSizeBound.ofSlice(slice);
    }

    /** Splits the slice into subranges that are within the limit. */
    public static List<Slice> split(Slice slice, int limitBytes) {
        return SliceSplitter.split(slice, limitBytes);
    }
}
