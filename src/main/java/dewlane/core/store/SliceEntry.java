package dewlane.core.store;

import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Slice;

/** A slice of a job as the replica holds it, and the version of its key. */
public final class SliceEntry {
    private final int number;
    private final String key;
    private Slice stored;
    private Slice value;
    private long revision;

    SliceEntry(String job, int number) {
        this.number = number;
        this.key = StoreKeys.slice(job, number);
    }

    /** The slice's number within its job. */
    public int number() {
        return number;
    }

    /** The key under which the slice is stored. */
    public String key() {
        return key;
    }

    /** The slice's contents, less the tasks that slices with higher numbers have taken over. */
    public Slice value() {
        return value;
    }

    /** The revision of the latest change; 0 while the slice has no key and the job's assignment stands for it. */
    public long revision() {
        return revision;
    }

    /** The slice's contents as its key holds them. */
    Slice stored() {
        return stored;
    }

    /** Takes another value of the key. */
    void store(Slice slice, long atRevision) {
        stored = slice;
        value = slice;
        revision = atRevision;
    }

    /** Restricts the slice to its first tasks, as another one holds the rest. */
    void restrictTo(int count) {
        value = count == stored.count() ? stored : stored.subrange(0, count);
    }
}
