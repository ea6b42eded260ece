package dewlane.core.model;

/**
 * Priorities of jobs, lowest first, so that {@link #compareTo} ranks them. Work may preempt work of lower priority; see
 * {@code scheduling} for the other cases.
 */
public enum Priority {
    IDLE,
    STANDARD,
    HIGH,
    CRITICAL
}
