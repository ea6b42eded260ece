package dewlane.wire;

import dewlane.core.model.Priority;
import dewlane.core.schema.StoredValue.DecommissionState;

/**
 * The words that stand for constants in stored values. They are kept apart from the names of the Java constants, as
 * values outlive the version that wrote them: a constant may be renamed, its word may not change.
 */
final class StoredWords {
    private static final String IDLE = "IDLE";
    private static final String STANDARD = "STANDARD";
    private static final String HIGH = "HIGH";
    private static final String CRITICAL = "CRITICAL";

    private static final String RETURN = "RETURN";
    private static final String DELETE = "DELETE";
    private static final String GONE = "GONE";

    private StoredWords() {}

    /** The word that stands for a priority. */
    static String word(Priority priority) {
        return switch (priority) {
            case IDLE -> IDLE;
            case STANDARD -> STANDARD;
            case HIGH -> HIGH;
            case CRITICAL -> CRITICAL;
        };
    }

    /** The priority that a word stands for; throws {@link IllegalArgumentException} if it stands for none. */
    static Priority priority(String word) {
        return switch (String.valueOf(word)) {
            case IDLE -> Priority.IDLE;
            case STANDARD -> Priority.STANDARD;
            case HIGH -> Priority.HIGH;
            case CRITICAL -> Priority.CRITICAL;
            default -> throw new IllegalArgumentException("unknown priority " + word);
        };
    }

    /** The word that stands for a state of a decommission. */
    static String word(DecommissionState state) {
        return switch (state) {
            case SCALE_IN -> RETURN;
            case DELETE -> DELETE;
            case TERMINATED -> GONE;
        };
    }

    /** The state that a word stands for; throws {@link IllegalArgumentException} if it stands for none. */
    static DecommissionState decommissionState(String word) {
        return switch (String.valueOf(word)) {
            case RETURN -> DecommissionState.SCALE_IN;
            case DELETE -> DecommissionState.DELETE;
            case GONE -> DecommissionState.TERMINATED;
            default -> throw new IllegalArgumentException("unknown fate of a machine " + word);
        };
    }
}
