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
 * What this controller knows of a machine: what it is, who owns it, what may be running there, and what was sent to its
 * worker. It is confined to the controller's one thread.
 */
public final class Machine {
    private final String name;
    private String owner;
    private long ownerSinceMs;

    private String address;
    private String typeName;
    private String zone;
    private boolean spot;
    /** Null until it is looked up. */
    private MachineType resolvedType;

    private final WorkerState worker = new WorkerState();
    private final Reachability reachability;
    private final CommandChannel commandChannel = new CommandChannel();
    private final CommandHistory commands = new CommandHistory();
    private final MisroutedHeartbeats misroutedHeartbeats = new MisroutedHeartbeats();
    private final MachineLifecycle lifecycle = new MachineLifecycle();
    private final ImageCache images = new ImageCache();
    private final PeerListing peerListing = new PeerListing();

    /** Jobs of which a task failed here since a task last completed. */
    private final Set<String> failedJobs = new HashSet<>();

    private final MachineLoad load;

    Machine(String name, long nowMs) {
        this.name = name;
        this.reachability = new Reachability(nowMs);
        this.load = new MachineLoad(nowMs);
    }

    /** The machine's name, which is never used twice. */
    public String name() {
        return name;
    }

    /** The controller whose partition the machine is in, under the present map; null before the first map. */
    public String owner() {
        return owner;
    }

    /** Since when it has that owner, in steady time. */
    public long ownerSinceMs() {
        return ownerSinceMs;
    }

    /**
     * Sets the owner under the present map.
     *
     * @param reacquired true if its time as the owner begins now in any case, as there may have been another meanwhile
     */
    void setOwner(String newOwner, boolean reacquired, long nowMs) {
        if (reacquired || newOwner == null || !newOwner.equals(owner)) {
            ownerSinceMs = nowMs;
        }
        owner = newOwner;
    }

    /**
     * This controller becomes the machine's owner. Its fencing tokens are above those of any owner before, and go on
     * from there as long as it owns the machine: a map that changes elsewhere fences off no launch of this partition.
     */
    void acquire(long epoch, long nowMs) {
        commandChannel.acquire(epoch);
        reachability.acquired(nowMs, fencingToken());
        lifecycle.cancelTermination();
        worker.forgetTasks();
        commands.clear();
    }

    /** Host and port of the worker; null until it is known. */
    public String address() {
        return address;
    }

    /** The name of the machine's type; null until it is known. */
    public String typeName() {
        return typeName;
    }

    /** The zone; null until it is known. */
    public String zone() {
        return zone;
    }

    /** True for a spot instance, which the cloud may take back at any time. */
    public boolean isSpot() {
        return spot;
    }

    /** Takes the address from a heartbeat or a list. */
    public void setAddress(String newAddress) {
        address = newAddress;
    }

    /** Takes the description in a heartbeat or a list; it never changes, unless a list was wrong. */
    public void describe(String newTypeName, String newZone, boolean isSpot) {
        if (!newTypeName.equals(typeName)) {
            typeName = newTypeName;
            resolvedType = null;
        }
        zone = newZone;
        spot = isSpot;
    }

    /** The machine's type among those that the cloud offers, or null if it is not known. */
    MachineType resolveType(MachineTypeCatalog types) {
        if (resolvedType == null && typeName != null) {
            resolvedType = types.get(typeName);
        }
        return resolvedType;
    }

    /** The machine types were replaced. */
    void forgetResolvedType() {
        resolvedType = null;
    }

    /** The worker's latest heartbeat. */
    public WorkerState worker() {
        return worker;
    }

    /** Whether the machine hears this controller. */
    public Reachability reachability() {
        return reachability;
    }

    /** What was sent to the worker, and with which fencing token. */
    public CommandChannel commandChannel() {
        return commandChannel;
    }

    /** What is remembered of commands about single attempts. */
    public CommandHistory commands() {
        return commands;
    }

    /** Heartbeats that came here although another controller owns the machine. */
    public MisroutedHeartbeats misroutedHeartbeats() {
        return misroutedHeartbeats;
    }

    /** Whether the machine is being scaled in or terminated. */
    public MachineLifecycle lifecycle() {
        return lifecycle;
    }

    /** The images in the machine's cache. */
    public ImageCache images() {
        return images;
    }

    /** Which peer last said that it hears the machine. */
    PeerListing peerListing() {
        return peerListing;
    }

    /** Jobs of which a task failed here since a task last completed. */
    public Set<String> failedJobs() {
        return Collections.unmodifiableSet(failedJobs);
    }

    /** A task of the job failed here. */
    public void addFailedJob(String job) {
        failedJobs.add(job);
    }

    /** A task completed here, so earlier failures are no sign of a faulty machine. */
    public void clearFailedJobs() {
        failedJobs.clear();
    }

    /** The attempts and resources counted on the machine, for those who count them. */
    MachineLoad load() {
        return load;
    }

    /** The attempts that the store holds against the machine. */
    public Collection<AssignedAttempt> attempts() {
        return load.attempts();
    }

    /** The attempt, or null if the store does not hold it against the machine. */
    public AssignedAttempt attempt(AttemptId id) {
        return load.attempt(id);
    }

    /** The resources taken by attempts that may be on the machine, those in a write in flight included. */
    public ResourceUsage usage() {
        return load.usage();
    }

    /** True if tasks of the job may run on the machine, as far as its other tasks do not matter. */
    public boolean isAllowedFor(Job job) {
        return job.allows(typeName, zone, spot);
    }

    /** The number of tasks of the job that fit beside what is used and reserved. */
    public int capacityFor(MachineType type, Job job) {
        return load.capacityFor(type, job);
    }

    /** Reserves room for one task of the job until the next scheduling cycle. */
    public void reserve(Job job) {
        load.reserve(job);
    }

    /** Drops all reservations. */
    public void clearReservations() {
        load.clearReservations();
    }

    /** Since when nothing has been on the machine, in steady time. */
    public long idleSinceMs() {
        return load.idleSinceMs();
    }

    /** The fencing token that commands to the machine carry. */
    public long fencingToken() {
        return commandChannel.fencingToken();
    }

    /**
     * The machine may not hear this controller, which being heard does not disprove. From now on only an answer to a
     * command, or a heartbeat with a fencing token that was issued after this moment, proves that it does. A late copy
     * has neither.
     */
    public void suspect(long nowMs) {
        if (isAnyLaunchInFlight()) {
            // A token can only prove it if the fence is raised, which would give the launch up.
            reachability.suspected(nowMs, Reachability.NO_TOKEN_ENDS_IT);
        } else {
            commandChannel.raiseFence();
            reachability.suspected(nowMs, fencingToken());
        }
    }

    private boolean isAnyLaunchInFlight() {
        for (AssignedAttempt assigned : load.attempts()) {
            if (mayLaunchArrive(assigned)) {
                return true;
            }
        }
        return false;
    }

    /** True if a launch of the attempt may still arrive: the worker would carry it out and does not report it yet. */
    public boolean mayLaunchArrive(AssignedAttempt assigned) {
        return acceptsLaunch(assigned) && !worker.reports(assigned.id());
    }

    /**
     * True if the worker would carry out a launch of the attempt: its incarnation and its token are the present ones.
     */
    public boolean acceptsLaunch(AssignedAttempt assigned) {
        return assigned.attempt().fencingToken() == fencingToken()
                && assigned.attempt().incarnation() == worker.incarnation();
    }
}
