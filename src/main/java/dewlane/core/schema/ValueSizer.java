package dewlane.core.schema;

/** Computes the sizes of stored values. */
public interface ValueSizer {
    /** Returns the size of the value in bytes, as the store counts it against its limit. */
    int bytes(StoredValue value);
}
