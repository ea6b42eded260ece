package dewlane.core.schema;

import java.util.Map;

/**
 * Fields of a stored value that this release does not support. They are kept when the value is rewritten, so that
 * controllers of a newer release, which may run at the same time, lose no data.
 *
 * @param byName the fields as plain JSON values: maps, lists, strings, numbers and booleans
 */
public record UnknownFields(Map<String, Object> byName) {
    /** No unknown fields. */
    public static final UnknownFields NONE = new UnknownFields(Map.of());
}
