package dewlane.core.fleet;

import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.MachineType;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.StoreReplica;
import java.util.Collection;
import java.util.List;

/**
 * All known machines, whoever owns them, with what the replica and the writes in flight put on them. It is the facade
 * of the components that keep this, and passes changes of the replica on to them.
 */
public final class MachineRegistry {
    /** A machine is faulty once tasks of so many jobs failed on it that do not fail everywhere. */
    private static final int FAULTY_JOBS = 2;

    private final String self;
    private final MachineTypeCatalog types = new MachineTypeCatalog();
    private final OwnedMachines owned;
    private final MachineTable machines;
    private final TeamUsage teamUsage = new TeamUsage();
    private final JobProgressTable progress;
    private final AttemptTracker attempts;
    private final MachineDiscovery discovery;

    /** A registry without machines, which follows the replica. */
    public MachineRegistry(ControllerContext context, StoreReplica replica, PeerTable peers) {
        this.self = context.settings().controllerName();
        this.owned = new OwnedMachines(context, replica);
        this.machines = new MachineTable(context, owned);
        this.progress = new JobProgressTable(context, replica, teamUsage);
        this.attempts = new AttemptTracker(context, replica, machines, owned, teamUsage, progress);
        this.discovery = new MachineDiscovery(context, peers, machines, owned);
    }

    /** Replaces the machine types that the cloud offers. */
    public void setTypes(List<MachineType> read) {
        types.replaceAll(read);
        machines.all().forEach(Machine::forgetResolvedType);
    }

    /** The machine types that the cloud offers. */
    public Collection<MachineType> types() {
        return types.all();
    }

    /** The contention of jobs for machine types. */
    public MachineTypeContention typeContention() {
        return types.contention();
    }

    /** The machine type of that name, or null if the cloud offers none. */
    public MachineType type(String name) {
        return types.get(name);
    }

    /** The machine's type, or null while it is not known. */
    public MachineType type(Machine machine) {
        return machine.resolveType(types);
    }

    /** The machine, or null if it is not known. */
    public Machine get(String name) {
        return machines.get(name);
    }

    /** The machine, which is added if it is not known. */
    public Machine getOrCreate(String name) {
        return machines.getOrCreate(name);
    }

    /** All known machines. */
    public Collection<Machine> all() {
        return machines.all();
    }

    /** Machines of this controller's partition. */
    public Collection<Machine> owned() {
        return owned.all();
    }

    /** True if the machine is in this controller's partition. */
    public boolean owns(Machine machine) {
        return owned.owns(machine);
    }

    /** There may be something to command to the machine, if it is in this controller's partition. */
    public void markChanged(Machine machine) {
        owned.markChanged(machine);
    }

    /** There may be something to command wherever the job has attempts. */
    public void markChangedFor(JobEntry job) {
        attempts.markMachinesChanged(job);
    }

    /** Machines of this partition for which there may be something to command; the caller clears it. */
    public Collection<Machine> changed() {
        return owned.changed();
    }

    /** True if the machine is proven terminated. */
    public boolean isTerminated(String name) {
        return machines.isTerminated(name);
    }

    /** What this controller is doing for each job. */
    public JobProgressTable progress() {
        return progress;
    }

    /** What the teams' tasks may be using. */
    public TeamUsage teamUsage() {
        return teamUsage;
    }

    /** Follows the slices, job records, partition map and decommissions. */
    public void onReplicaChange(ReplicaChange change) {
        if (change instanceof ReplicaChange.SliceChanged slice) {
            attempts.onSliceChanged(slice);
        } else if (change instanceof ReplicaChange.JobChanged job) {
            updateContention(job);
            attempts.onJobChanged(job);
        } else if (change instanceof ReplicaChange.PartitionMapChanged map) {
            onPartitionMapChanged(map);
        } else if (change instanceof ReplicaChange.MachineDecommissioned machine) {
            onDecommissioned(machine.name(), machine.after().state());
        }
    }

    private void updateContention(ReplicaChange.JobChanged change) {
        if (change.before() == null && change.after() != null) {
            types.contention().jobAdded(change.after().job().requirements());
        } else if (change.before() != null && change.after() == null) {
            types.contention().jobRemoved(change.before().job().requirements());
        }
    }

    /** A map that was missed may have given this controller's machines to another and back: they count as new to it. */
    private void onPartitionMapChanged(ReplicaChange.PartitionMapChanged change) {
        long incarnationBefore = change.before() == null ? 0 : change.before().incarnation(self);
        boolean memberThroughout = change.complete()
                && incarnationBefore != 0
                && incarnationBefore == change.after().incarnation(self);
        machines.all().forEach(machine -> owned.updateOwner(machine, !memberThroughout));
        attempts.recountOwners();
    }

    private void onDecommissioned(String name, DecommissionState state) {
        Machine machine = machines.get(name);
        if (state == DecommissionState.TERMINATED) {
            machines.markTerminated(name);
        } else if (state == DecommissionState.SCALE_IN && machine != null) {
            machine.lifecycle().expectScaleIn();
        }
    }

    /** A heartbeat proves the attempt's end: its room is free, but its team's limit counts it until that is durable. */
    public void onAttemptEnded(Machine machine, AssignedAttempt attempt) {
        attempts.attemptEnded(machine, attempt);
    }

    /**
     * Learns a machine from a list or a peer; its own heartbeats are not overruled.
     *
     * @return the machine, or null if it is proven terminated
     */
    public Machine discover(String name, String address, String type, String zone, boolean spot) {
        return discovery.discover(name, address, type, zone, spot);
    }

    /** Learns the machines that a peer lists. */
    public void discoverFrom(PeerStatus status) {
        discovery.discoverFrom(status);
    }

    /** True if the machine's owner, another controller, has listed it within the last few seconds. */
    public boolean isListedByOwner(Machine machine) {
        return discovery.isListedByOwner(machine);
    }

    /** True if tasks of two jobs failed on the machine that do not fail everywhere. */
    public boolean isFaulty(Machine machine) {
        int failedJobs = 0;
        for (String job : machine.failedJobs()) {
            JobProgress jobProgress = progress.get(job);
            if (jobProgress == null || !jobProgress.isFaulty()) {
                failedJobs++;
            }
        }
        return failedJobs >= FAULTY_JOBS;
    }
}
