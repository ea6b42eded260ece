package dewlane.core.fleet;

/** Tracks whether a machine is to be removed, and by whom: scaled in by its owner, or terminated by the cloud. */
public final class MachineLifecycle {
    private static final long NOT_SCHEDULED = 0;

    private boolean scaleInExpected;
    private boolean scalingIn;
    private long terminationAtMs = NOT_SCHEDULED;

    /** Called when a stored record says that the machine is scaled in: it is then expected to become unresponsive. */
    void expectScaleIn() {
        scaleInExpected = true;
    }

    /** Called when the machine is confirmed reachable and no stored record says any more that it is scaled in. */
    public void withdrawScaleIn() {
        scaleInExpected = false;
    }

    /**
     * Returns true if the machine was being scaled in as of the last contact with it, so that a lack of contact is no
     * failure.
     */
    public boolean isScaleInExpected() {
        return scaleInExpected;
    }

    /** Called when a record that scales the machine in is being written: the machine then takes no more tasks. */
    public void beginScaleIn() {
        scalingIn = true;
    }

    /** Called when the record that scales the machine in was not written. */
    public void abortScaleIn() {
        scalingIn = false;
    }

    /** Returns true while a record that scales the machine in is being written, and after it was written. */
    public boolean isScalingIn() {
        return scalingIn;
    }

    /** Records that the cloud announced that it will terminate the machine at the given monotonic time. */
    public void scheduleTermination(long atMs) {
        terminationAtMs = atMs;
    }

    /** Records that no termination by the cloud is announced. */
    public void cancelTermination() {
        terminationAtMs = NOT_SCHEDULED;
    }

    /** Returns true if the cloud announced that it will terminate the machine. */
    public boolean isTerminationScheduled() {
        return terminationAtMs != NOT_SCHEDULED;
    }

    /** Returns the milliseconds until the cloud terminates the machine; valid only while a termination is scheduled. */
    public long msUntilTermination(long nowMs) {
        return terminationAtMs - nowMs;
    }
}
