package dewlane.core.schema;

import java.util.Map;

/**
 * Fields of a stored value that this version does not know. They are written back when the value is written anew, so
 * that a newer version that runs beside this one loses nothing.
 *
 * @param byName the fields as plain JSON values: maps, lists, strings, numbers and booleans
 */
public record UnknownFields(Map<String, Object> byName) {
    /** No unknown field. */
    public static final UnknownFields NONE = new UnknownFields(Map.of());
}
