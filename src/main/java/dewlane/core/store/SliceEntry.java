package dewlane.core.store;

import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Slice;

/** A slice of a job in the replica, with the revision of its key. */
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

    /** Returns the slice's number within its job. */
    public int number() {
        return number;
    }

    /** Returns the key of the slice. */
    public String key() {
        return key;
    }

    /** Returns the slice's contents without the tasks that slices with higher numbers have taken over. */
    public Slice value() {
        return value;
    }

    /**
     * Returns the revision of the latest change; 0 if the slice has no key yet and its contents are those that the
     * job's record assigns.
     */
    public long revision() {
        return revision;
    }

    /** Returns the slice's contents as they are stored. */
    Slice stored() {
        return stored;
    }

    /** Sets the contents to a value read from the store. */
    void setStored(Slice slice, long newRevision) {
        stored = slice;
        value = slice;
        revision = newRevision;
    }

    /** Restricts the slice to its first tasks, as other slices have taken over the rest. */
    void restrictTo(int count) {
        value = count == stored.count() ? stored : stored.subrange(0, count);
    }
}
