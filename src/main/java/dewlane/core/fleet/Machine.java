package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * This controller's view of one machine: its description, its owner, the attempts that may be running on it, and the
 * commands sent to its worker. Confined to the controller's single thread.
 */
public final class Machine {
    private final String name;
    private String owner;
    private long ownerSinceMs;

    private String address;
    private String typeName;
    private String zone;
    private boolean spot;
    /** Null until it is resolved from {@link #typeName}. */
    private MachineType resolvedType;

    private final WorkerState worker = new WorkerState();
    private final Reachability reachability;
    private final CommandChannel commandChannel = new CommandChannel();
    private final CommandHistory commands = new CommandHistory();
    private final MisroutedHeartbeats misroutedHeartbeats = new MisroutedHeartbeats();
    private final MachineLifecycle lifecycle = new MachineLifecycle();
    private final ImageCache images = new ImageCache();
    private final PeerListing peerListing = new PeerListing();

    /** The jobs with a task that failed on this machine since a task last completed on it. */
    private final Set<String> failedJobs = new HashSet<>();

    private final MachineLoad load;
    private final PendingLaunches launches;

    Machine(String name, long nowMs) {
        this.name = name;
        this.reachability = new Reachability(nowMs);
        this.load = new MachineLoad(nowMs);
        this.launches = new PendingLaunches(load, commandChannel, worker);
    }

    /** Returns the machine's name. Names are never reused. */
    public String name() {
        return name;
    }

    /**
     * Returns the controller whose partition contains the machine under the current partition map; null before the
     * first map.
     */
    public String owner() {
        return owner;
    }

    /** Returns the monotonic time at which the current owner became the owner. */
    public long ownerSinceMs() {
        return ownerSinceMs;
    }

    /**
     * Sets the owner under the current partition map.
     *
     * @param reacquired true to restart the time of ownership even if the owner is the same, because another controller
     *     may have owned the machine in between
     */
    void setOwner(String newOwner, boolean reacquired, long nowMs) {
        if (reacquired || newOwner == null || !newOwner.equals(owner)) {
            ownerSinceMs = nowMs;
        }
        owner = newOwner;
    }

    /**
     * Called when this controller becomes the machine's owner. The fencing tokens that it issues are higher than those
     * of every earlier owner, and only increase while it owns the machine. A partition map that changes nothing for
     * this controller's partition does not raise them, so it fences off none of the launches in flight there.
     */
    void acquire(long epoch, long nowMs) {
        commandChannel.acquire(epoch);
        reachability.onAcquired(nowMs, fencingToken());
        lifecycle.cancelTermination();
        worker.clearTasks();
        commands.clear();
    }

    /** Returns the worker's host and port; null until observed. */
    public String address() {
        return address;
    }

    /** Returns the name of the machine's type; null until observed. */
    public String typeName() {
        return typeName;
    }

    /** Returns the zone; null until observed. */
    public String zone() {
        return zone;
    }

    /** Returns true for a spot instance, which the cloud may reclaim at any time. */
    public boolean isSpot() {
        return spot;
    }

    /** Sets the address, as stated in a heartbeat or in a listing by the cloud or a peer. */
    public void setAddress(String newAddress) {
        address = newAddress;
    }

    /**
     * Sets the description, as stated in a heartbeat or in a listing by the cloud or a peer. It never changes, unless a
     * listing was wrong.
     */
    public void describe(String newTypeName, String newZone, boolean isSpot) {
        if (!newTypeName.equals(typeName)) {
            typeName = newTypeName;
            resolvedType = null;
        }
        zone = newZone;
        spot = isSpot;
    }

    /** Returns the machine's type, or null if its name was not observed yet or the cloud does not offer it. */
    MachineType resolveType(MachineTypeCatalog types) {
        if (resolvedType == null && typeName != null) {
            resolvedType = types.get(typeName);
        }
        return resolvedType;
    }

    /** Called when the machine types were replaced: the type is resolved again on its next use. */
    void clearResolvedType() {
        resolvedType = null;
    }

    /** Returns the worker's state as of its latest heartbeat. */
    public WorkerState worker() {
        return worker;
    }

    /** Returns the record of whether this controller's messages reach the machine. */
    public Reachability reachability() {
        return reachability;
    }

    /** Returns the commands in flight to the worker, with the machine's fencing token. */
    public CommandChannel commandChannel() {
        return commandChannel;
    }

    /** Returns the launches that the worker has not reported yet. */
    public PendingLaunches launches() {
        return launches;
    }

    /** Returns the recent commands about single attempts on the machine. */
    public CommandHistory commands() {
        return commands;
    }

    /** Returns the record of heartbeats that arrived here although another controller owns the machine. */
    public MisroutedHeartbeats misroutedHeartbeats() {
        return misroutedHeartbeats;
    }

    /** Returns the record of whether the machine is being scaled in or terminated. */
    public MachineLifecycle lifecycle() {
        return lifecycle;
    }

    /** Returns the images that the machine's cache is expected to hold. */
    public ImageCache images() {
        return images;
    }

    /** Returns which peer last listed the machine as one from which it receives heartbeats. */
    PeerListing peerListing() {
        return peerListing;
    }

    /** Returns the jobs with a task that failed on this machine since a task last completed on it. */
    public Set<String> failedJobs() {
        return Collections.unmodifiableSet(failedJobs);
    }

    /** Records that a task of the job failed on this machine. */
    public void addFailedJob(String job) {
        failedJobs.add(job);
    }

    /**
     * Clears the failed jobs after a task completed on this machine: earlier failures are then no sign of a faulty
     * machine.
     */
    public void clearFailedJobs() {
        failedJobs.clear();
    }

    /** Returns the attempts and resources counted on the machine, for the classes that update these counts. */
    MachineLoad load() {
        return load;
    }

    /** Returns the attempts that the store assigns to the machine. */
    public Collection<AssignedAttempt> attempts() {
        return load.attempts();
    }

    /** Returns the attempt, or null if the store does not assign it to the machine. */
    public AssignedAttempt attempt(AttemptId id) {
        return load.attempt(id);
    }

    /**
     * Returns the resources used by attempts that may be on the machine, including launches whose write is in flight.
     */
    public ResourceUsage usage() {
        return load.usage();
    }

    /**
     * Returns true if the job may use a machine of this type, zone and spot status, regardless of the other tasks on
     * it.
     */
    public boolean isAllowedFor(Job job) {
        return job.allows(typeName, zone, spot);
    }

    /** Returns the number of tasks of the job that fit into the resources that are neither used nor reserved. */
    public int capacityFor(MachineType type, Job job) {
        return load.capacityFor(type, job);
    }

    /** Reserves resources for one task of the job until the next scheduling cycle. */
    public void reserve(Job job) {
        load.reserve(job);
    }

    /** Releases all reservations. */
    public void clearReservations() {
        load.clearReservations();
    }

    /** Returns the monotonic time since which the machine has been idle. */
    public long idleSinceMs() {
        return load.idleSinceMs();
    }

    /** Returns the fencing token that commands to the machine carry. */
    public long fencingToken() {
        return commandChannel.fencingToken();
    }

    /**
     * Marks the machine as suspected unreachable: this controller's messages may not reach it, even though its
     * heartbeats arrive here. From now on only the answer to a command, or a heartbeat with a fencing token issued
     * after this moment, proves that it is reachable. A delayed copy of an earlier heartbeat is neither.
     *
     * @return true if the fence was raised
     */
    public boolean suspect(long nowMs) {
        if (launches.mayAnyArrive()) {
            // A heartbeat can show a newer token only if the fence is raised, which would invalidate the launch in
            // flight.
            reachability.onSuspected(nowMs, Reachability.NO_TOKEN_ENDS_SUSPICION);
            return false;
        }
        commandChannel.raiseFence();
        reachability.onSuspected(nowMs, fencingToken());
        return true;
    }
}
