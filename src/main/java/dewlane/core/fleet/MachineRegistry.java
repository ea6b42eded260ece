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
 * The machines that this controller has observed, regardless of their owner, with the attempts that the replica and the
 * writes in flight assign to them. This class is the facade of the classes that track these, and forwards changes of
 * the replica to them.
 */
public final class MachineRegistry {
    /** A machine is faulty once tasks of this many jobs failed on it, not counting jobs that are themselves faulty. */
    private static final int FAULTY_MACHINE_MIN_JOBS = 2;

    private final String self;
    private final MachineTypeCatalog types = new MachineTypeCatalog();
    private final OwnedMachines owned;
    private final MachineTable machines;
    private final TeamUsage teamUsage = new TeamUsage();
    private final JobProgressTable progress;
    private final AttemptTracker attempts;
    private final MachineDiscovery discovery;

    /** Creates a registry without machines, which follows the replica. */
    public MachineRegistry(ControllerContext context, StoreReplica replica, PeerTable peers) {
        this.self = context.settings().controllerName();
        this.owned = new OwnedMachines(context, replica);
        this.machines = new MachineTable(context, owned);
        this.progress = new JobProgressTable(context, replica, teamUsage);
        this.attempts = new AttemptTracker(context, replica, machines, owned, teamUsage, progress);
        this.discovery = new MachineDiscovery(context, peers, machines, owned);
    }

    /** Replaces the machine types that the cloud offers. */
    public void setTypes(List<MachineType> newTypes) {
        types.replaceAll(newTypes);
        machines.all().forEach(Machine::clearResolvedType);
    }

    /** Returns the machine types that the cloud offers. */
    public Collection<MachineType> types() {
        return types.all();
    }

    /** Returns the contention of jobs for machine types. */
    public MachineTypeContention typeContention() {
        return types.contention();
    }

    /** Returns the machine type with the given name, or null if the cloud does not offer it. */
    public MachineType type(String name) {
        return types.get(name);
    }

    /** Returns the machine's type, or null if its name was not observed yet or the cloud does not offer it. */
    public MachineType type(Machine machine) {
        return machine.resolveType(types);
    }

    /** Returns the machine, or null if it is not in the registry. */
    public Machine get(String name) {
        return machines.get(name);
    }

    /** Returns the machine, adding it if it is not in the registry. */
    public Machine getOrCreate(String name) {
        return machines.getOrCreate(name);
    }

    /** Returns all machines, regardless of their owner. */
    public Collection<Machine> all() {
        return machines.all();
    }

    /** Returns the machines in this controller's partition. */
    public Collection<Machine> owned() {
        return owned.all();
    }

    /** Returns true if the machine is in this controller's partition. */
    public boolean owns(Machine machine) {
        return owned.owns(machine);
    }

    /** Marks the machine to have its commands planned again, if it is in this controller's partition. */
    public void markForPlanning(Machine machine) {
        owned.markForPlanning(machine);
    }

    /** Marks all machines on which the job has attempts to have their commands planned again. */
    public void markForPlanningOf(JobEntry job) {
        attempts.markForPlanningOf(job);
    }

    /**
     * Returns the machines of this partition whose commands are to be planned again; the caller clears the collection.
     */
    public Collection<Machine> machinesToPlan() {
        return owned.machinesToPlan();
    }

    /** Returns true if the machine is proven terminated. */
    public boolean isTerminated(String name) {
        return machines.isTerminated(name);
    }

    /** Returns the work of this controller on each job. */
    public JobProgressTable progress() {
        return progress;
    }

    /** Returns the resources that the teams' tasks may be using. */
    public TeamUsage teamUsage() {
        return teamUsage;
    }

    /** Applies changes of slices, job records, the partition map and decommission records. */
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
            types.contention().onJobAdded(change.after().job().requirements());
        } else if (change.before() != null && change.after() == null) {
            types.contention().onJobRemoved(change.before().job().requirements());
        }
    }

    /**
     * Updates the owners of all machines. If a map was missed, this controller's machines may have been transferred to
     * another controller and back; they then count as newly acquired.
     */
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

    /**
     * Called when a heartbeat proves that the attempt ended. Its resources on the machine are free at once; it counts
     * against its team's limit until the end is durable.
     */
    public void onAttemptEnded(Machine machine, AssignedAttempt attempt) {
        attempts.onAttemptEnded(machine, attempt);
    }

    /**
     * Adds a machine or updates its description; what the machine's own heartbeats stated is not overwritten.
     *
     * @return the machine, or null if it is proven terminated
     */
    public Machine discover(String name, String address, String type, String zone, boolean spot) {
        return discovery.discover(name, address, type, zone, spot);
    }

    /** Adds the machines that a peer lists. */
    public void discoverFrom(PeerStatus status) {
        discovery.discoverFrom(status);
    }

    /** Returns true if the machine's owner, another controller, has listed it within the last few seconds. */
    public boolean isListedByOwner(Machine machine) {
        return discovery.isListedByOwner(machine);
    }

    /** Returns true if tasks of two jobs failed on the machine, not counting jobs that are themselves faulty. */
    public boolean isFaulty(Machine machine) {
        int failedJobs = 0;
        for (String job : machine.failedJobs()) {
            JobProgress jobProgress = progress.get(job);
            if (jobProgress == null || !jobProgress.isFaulty()) {
                failedJobs++;
            }
        }
        return failedJobs >= FAULTY_MACHINE_MIN_JOBS;
    }
}
