package dewlane.core.schema;

/** Tells how many bytes a value takes in the state service. */
public interface ValueSizer {
    /** Bytes of the value as it is stored. */
    int bytes(StoredValue value);
}
