package dewlane.core.schema;

/**
 * Versions of the format of stored values. Each controller publishes the newest version that it supports in its
 * {@link StoredValue.Presence}, which no other controller rewrites, so that all controllers can tell whether an older
 * version is running.
 */
public final class SchemaVersion {
    /**
     * The format of release 0.1, which publishes no schema version. It rejects unknown keys and drops unknown fields
     * when it rewrites a value.
     */
    public static final int FIRST = 1;
    /**
     * Jobs may have dependencies, slices of an ended job may exist until they are deleted, and slices with higher
     * numbers may take over tasks of a slice.
     */
    public static final int DEPENDENCIES = 2;

    /** The newest version that this release supports. */
    public static final int CURRENT = DEPENDENCIES;

    private SchemaVersion() {}
}
