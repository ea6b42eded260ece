package dewlane.core.model;

/**
 * Job priorities, lowest first, so that {@link #compareTo} orders them. A job may preempt jobs of lower priority; the
 * package {@code scheduling} defines the other cases of preemption.
 */
public enum Priority {
    IDLE,
    STANDARD,
    HIGH,
    CRITICAL
}
