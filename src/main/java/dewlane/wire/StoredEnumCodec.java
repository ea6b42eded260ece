package dewlane.wire;

import dewlane.core.model.Priority;
import dewlane.core.schema.StoredValue.DecommissionState;

/**
 * Converts enum constants to and from their names in stored values. The stored names are independent of the names of
 * the Java constants, because values outlive the version that wrote them: a Java constant may be renamed, its stored
 * name may not change.
 */
final class StoredEnumCodec {
    private static final String IDLE = "IDLE";
    private static final String STANDARD = "STANDARD";
    private static final String HIGH = "HIGH";
    private static final String CRITICAL = "CRITICAL";

    private static final String RETURN = "RETURN";
    private static final String DELETE = "DELETE";
    private static final String GONE = "GONE";

    private StoredEnumCodec() {}

    /** Returns the stored name of a priority. */
    static String encode(Priority priority) {
        return switch (priority) {
            case IDLE -> IDLE;
            case STANDARD -> STANDARD;
            case HIGH -> HIGH;
            case CRITICAL -> CRITICAL;
        };
    }

    /** Returns the priority with a stored name; throws {@link IllegalArgumentException} if there is none. */
    static Priority decodePriority(String name) {
        return switch (String.valueOf(name)) {
            case IDLE -> Priority.IDLE;
            case STANDARD -> Priority.STANDARD;
            case HIGH -> Priority.HIGH;
            case CRITICAL -> Priority.CRITICAL;
            default ->
                throw new IllegalArgumentException(
                        "field priority: expected IDLE, STANDARD, HIGH or CRITICAL, got " + name);
        };
    }

    /** Returns the stored name of a decommission state. */
    static String encode(DecommissionState state) {
        return switch (state) {
            case SCALE_IN -> RETURN;
            case DELETE -> DELETE;
            case TERMINATED -> GONE;
        };
    }

    /** Returns the decommission state with a stored name; throws {@link IllegalArgumentException} if there is none. */
    static DecommissionState decodeDecommissionState(String name) {
        return switch (String.valueOf(name)) {
            case RETURN -> DecommissionState.SCALE_IN;
            case DELETE -> DecommissionState.DELETE;
            case GONE -> DecommissionState.TERMINATED;
            default -> throw new IllegalArgumentException("field fate: expected RETURN, DELETE or GONE, got " + name);
        };
    }
}
