package dewlane.core.schema;

/**
 * Forms of what is kept in the store. Each controller names the newest one that it knows in its
 * {@link StoredValue.Presence}, which other versions leave alone, so that all can tell whether an older version is
 * running.
 */
public final class SchemaVersion {
    /** Version 0.1, which names none: it refuses unknown keys and loses unknown fields when it rewrites a value. */
    public static final int FIRST = 1;
    /** Jobs may have dependencies, ended jobs may leave slices for a moment, and a slice may be cut by later ones. */
    public static final int DEPENDENCIES = 2;

    /** What this version knows. */
    public static final int CURRENT = DEPENDENCIES;

    private SchemaVersion() {}
}
