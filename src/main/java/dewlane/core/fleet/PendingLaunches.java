package dewlane.core.fleet;

/** The launches on one machine that its worker has not reported yet, and those that it would still execute. */
public final class PendingLaunches {
    private final MachineLoad load;
    private final CommandChannel commandChannel;
    private final WorkerState worker;

    PendingLaunches(MachineLoad load, CommandChannel commandChannel, WorkerState worker) {
        this.load = load;
        this.commandChannel = commandChannel;
        this.worker = worker;
    }

    /**
     * Returns true if a launch is being written, or is stored and may still arrive: raising the fence would invalidate
     * it.
     */
    public boolean isAnyPending() {
        return load.hasUnwrittenLaunch() || mayAnyArrive();
    }

    /** Returns true if a launch of any attempt that the store assigns to the machine may still arrive. */
    boolean mayAnyArrive() {
        for (AssignedAttempt assigned : load.attempts()) {
            if (mayArrive(assigned)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns true if a launch of the attempt may still arrive: the worker would execute it and does not report it yet.
     */
    public boolean mayArrive(AssignedAttempt assigned) {
        return isAccepted(assigned) && !worker.reports(assigned.id());
    }

    /**
     * Returns true if the worker would execute a launch of the attempt: the attempt has the worker's current
     * incarnation and the machine's current fencing token.
     */
    public boolean isAccepted(AssignedAttempt assigned) {
        return assigned.attempt().fencingToken() == commandChannel.fencingToken()
                && assigned.attempt().incarnation() == worker.incarnation();
    }
}
