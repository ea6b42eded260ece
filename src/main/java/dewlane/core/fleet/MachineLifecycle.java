package dewlane.core.fleet;

/** Whether a machine is to go, and by whose decision: scale-in by its owner, or termination by the cloud. */
public final class MachineLifecycle {
    private static final long NOT_SCHEDULED = 0;

    private boolean scaleInExpected;
    private boolean scalingIn;
    private long terminationAtMs = NOT_SCHEDULED;

    /** A record says that the machine is scaled in: if it falls silent, that is no failure. */
    void expectScaleIn() {
        scaleInExpected = true;
    }

    /** The machine is heard, and no record says any more that it is scaled in. */
    public void withdrawScaleIn() {
        scaleInExpected = false;
    }

    /** True if the machine was to be scaled in when it was last heard. */
    public boolean isScaleInExpected() {
        return scaleInExpected;
    }

    /** A record that scales the machine in is being written, so it takes no more tasks. */
    public void beginScaleIn() {
        scalingIn = true;
    }

    /** That record was not written. */
    public void abortScaleIn() {
        scalingIn = false;
    }

    /** True while such a record is being written, and once it is. */
    public boolean isScalingIn() {
        return scalingIn;
    }

    /** The cloud announced that it takes the machine away at the given steady time. */
    public void scheduleTermination(long atMs) {
        terminationAtMs = atMs;
    }

    /** The cloud does not take the machine away, as far as is known. */
    public void cancelTermination() {
        terminationAtMs = NOT_SCHEDULED;
    }

    /** True if the cloud announced that it takes the machine away. */
    public boolean isTerminationScheduled() {
        return terminationAtMs != NOT_SCHEDULED;
    }

    /** Milliseconds until the cloud takes the machine away; only if that is scheduled. */
    public long msUntilTermination(long nowMs) {
        return terminationAtMs - nowMs;
    }
}
