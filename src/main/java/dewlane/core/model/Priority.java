package dewlane.core.model;

/** Priorities, lowest first, so that {@link #compareTo} ranks them. */
public enum Priority {
    IDLE,
    STANDARD,
    HIGH,
    CRITICAL
}
