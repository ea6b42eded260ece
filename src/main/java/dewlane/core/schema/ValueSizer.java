package dewlane.core.schema;

/** Tells how many bytes a value takes in the store. */
public interface ValueSizer {
    /** Bytes of the value as the store counts them. */
    int bytes(StoredValue value);
}
