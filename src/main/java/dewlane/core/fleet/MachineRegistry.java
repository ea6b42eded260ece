package dewlane.core.fleet;

import dewlane.core.membership.PeerTable;
import dewlane.core.message.ControllerContext;
import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.PeerStatus;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All machines heard of, whoever owns them, with what the replica and the writes under way put on them. It follows the
 * replica change by change: nothing here is counted anew.
 */
public final class MachineRegistry {
    /** What a peer said of its machines counts for so long. */
    private static final long PEER_LIST_TTL_MS = 5000;

    private final ControllerContext context;
    private final StoreReplica replica;
    private final PeerTable peers;
    private final String self;
    private final Map<String, Machine> byName = new LinkedHashMap<>();
    /** Machines of this controller's part. */
    private final Set<Machine> owned = new LinkedHashSet<>();
    /** Machines of this part for which there may be something to command. */
    private final Set<Machine> changed = new LinkedHashSet<>();

    private final Set<String> terminated = new HashSet<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final TeamUsage teamUsage = new TeamUsage();
    private final JobProgressTable progress;
    private final MachineTypeContention typeContention = new MachineTypeContention(types);

    public MachineRegistry(ControllerContext context, StoreReplica replica, PeerTable peers) {
        this.context = context;
        this.replica = replica;
        this.peers = peers;
        this.self = context.settings().controllerName();
        this.progress = new JobProgressTable(context, replica, teamUsage);
    }

    /** Replaces the machine types that the cloud offers. */
    public void setTypes(List<MachineType> read) {
        types.clear();
        typeContention.typesChanged();
        for (MachineType type : read) {
            types.put(type.name(), type);
        }
        byName.values().forEach(Machine::forgetResolvedType);
    }

    /** The machine types that the cloud offers. */
    public Collection<MachineType> types() {
        return types.values();
    }

    /** Which jobs could use which types. */
    public MachineTypeContention typeContention() {
        return typeContention;
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
        return byName.get(name);
    }

    /** The machine, which is added if it is not known. */
    public Machine getOrCreate(String name) {
        Machine machine = byName.get(name);
        if (machine == null) {
            machine = new Machine(name, context.nowMs());
            byName.put(name, machine);
            updateOwner(machine, true);
        }
        return machine;
    }

    /** All known machines. */
    public Collection<Machine> all() {
        return byName.values();
    }

    /** Machines of this controller's part. */
    public Collection<Machine> owned() {
        return owned;
    }

    /** Something about the machine may call for a command. */
    public void markChanged(Machine machine) {
        if (self.equals(machine.owner())) {
            changed.add(machine);
        }
    }

    /** Machines of this partition for which there may be something to command; the caller clears it. */
    public Collection<Machine> changed() {
        return changed;
    }

    /** True if the machine is proven terminated. */
    public boolean isTerminated(String name) {
        return terminated.contains(name);
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
    public void onReplicaChange(ReplicaChange delta) {
        if (delta instanceof ReplicaChange.SliceChanged d) {
            sliceChanged(d.job(), d.slice(), d.before(), d.after());
        } else if (delta instanceof ReplicaChange.JobChanged d) {
            jobChanged(d);
        } else if (delta instanceof ReplicaChange.PartitionMapChanged d) {
            partitionMapChanged(d);
        } else if (delta instanceof ReplicaChange.MachineDecommissioned d) {
            decommissioned(d.name(), d.after().state());
        }
    }

    private void decommissioned(String name, StoredValue.DecommissionState fate) {
        Machine machine = byName.get(name);
        if (fate == StoredValue.DecommissionState.TERMINATED) {
            terminated.add(name);
            if (machine != null) {
                dropIfTerminated(machine);
            }
        } else if (fate == StoredValue.DecommissionState.SCALE_IN && machine != null) {
            machine.lifecycle().expectScaleIn();
        }
    }

    private void jobChanged(ReplicaChange.JobChanged d) {
        JobEntry job = d.job();
        if (d.before() == null && d.after() != null) {
            typeContention.jobAdded(d.after().job().requirements());
            job.slices().forEach(slice -> diff(job, job.job(), slice, null, slice.value()));
        } else if (d.before() != null && d.after() == null) {
            typeContention.jobRemoved(d.before().job().requirements());
            job.slices().forEach(slice -> diff(job, d.before().job(), slice, slice.value(), null));
            progress.jobEnded(job.id());
        } else if (d.after() != null && d.after().isCancelled()) {
            markChangedFor(job);
        }
    }

    /** There may be something to command wherever the job has attempts. */
    public void markChangedFor(JobEntry job) {
        job.slices()
                .forEach(slice ->
                        slice.value().attempts().forEach(attempt -> markChanged(getOrCreate(attempt.machine()))));
    }

    private void sliceChanged(JobEntry job, SliceEntry slice, Slice before, Slice after) {
        if (job.job() != null) {
            progress.sliceObserved(job.id(), slice.number(), after);
            diff(job, job.job(), slice, before, after);
        }
    }

    private void diff(JobEntry job, Job spec, SliceEntry slice, Slice before, Slice after) {
        Int2ObjectOpenHashMap<Attempt> was = new Int2ObjectOpenHashMap<>();
        if (before != null) {
            before.attempts().forEach(attempt -> was.put(attempt.task(), attempt));
        }
        if (after != null) {
            for (Attempt attempt : after.attempts()) {
                Attempt old = was.get(attempt.task());
                if (old != null && old.number() == attempt.number()) {
                    was.remove(attempt.task());
                } else {
                    add(job, spec, slice, attempt);
                }
            }
        }
        was.values().forEach(attempt -> remove(job, spec, attempt));
    }

    private void add(JobEntry job, Job spec, SliceEntry slice, Attempt attempt) {
        Machine machine = getOrCreate(attempt.machine());
        AssignedAttempt live = new AssignedAttempt(job, slice, attempt);
        machine.addAttempt(live);
        machine.usage().add(spec);
        live.setQuotaOwner(Partitioner.ownerOf(replica.partitionMap(), slice.key(), slice.value()));
        teamUsage.add(spec, live.quotaOwner(), 1);
        markChanged(machine);
    }

    private void remove(JobEntry job, Job spec, Attempt attempt) {
        Machine machine = getOrCreate(attempt.machine());
        AttemptId id = new AttemptId(job.id(), attempt.task(), attempt.number());
        AssignedAttempt live = machine.removeAttempt(id);
        if (live == null) {
            return;
        }
        if (!live.hasEnded()) {
            machine.usage().remove(spec);
        }
        teamUsage.add(spec, live.quotaOwner(), -1);
        machine.commands().attemptRemoved(id);
        JobProgress work = progress.get(job.id());
        if (work != null) {
            work.removeOutcome(id);
        }
        machine.markIdleIfEmpty(context.nowMs());
        markChanged(machine);
        dropIfTerminated(machine);
    }

    /** A task's end was reported: its room is free, though its team's limit still counts it until that is durable. */
    public void attemptEnded(Machine machine, AssignedAttempt live) {
        if (!live.hasEnded()) {
            live.markEnded();
            machine.usage().remove(live.job().job());
        }
    }

    private void dropIfTerminated(Machine machine) {
        if (machine.attempts().isEmpty() && terminated.contains(machine.name())) {
            byName.remove(machine.name());
            owned.remove(machine);
            changed.remove(machine);
        }
    }

    private void partitionMapChanged(ReplicaChange.PartitionMapChanged d) {
        long was = d.before() == null ? 0 : d.before().incarnation(self);
        boolean kept = d.complete() && was != 0 && was == d.after().incarnation(self);
        byName.values().forEach(machine -> updateOwner(machine, !kept));
        recount();
    }

    /** Under another map slices have other owners. */
    private void recount() {
        teamUsage.clearOwners();
        for (Machine machine : byName.values()) {
            for (AssignedAttempt assigned : machine.attempts()) {
                SliceEntry slice = assigned.slice();
                assigned.setQuotaOwner(Partitioner.ownerOf(replica.partitionMap(), slice.key(), slice.value()));
                teamUsage.addToOwner(assigned.job().job(), assigned.quotaOwner(), 1);
            }
        }
        progress.recountLaunches();
    }

    /** The machine's owner under the present map; one that this controller did not have all along begins anew. */
    private void updateOwner(Machine machine, boolean anew) {
        PartitionMap map = replica.partitionMap();
        String before = machine.owner();
        machine.setOwner(Partitioner.ownerOf(map, machine.name()), anew, context.nowMs());
        if (!self.equals(machine.owner())) {
            owned.remove(machine);
            changed.remove(machine);
            machine.reachability().handedOn();
        } else if (anew || !self.equals(before)) {
            machine.acquire(map.epoch(), context.nowMs());
            owned.add(machine);
            changed.add(machine);
        }
    }

    /** Learns a machine from a list or a peer; a report says more. */
    public Machine discover(String name, String address, String type, String zone, boolean spot) {
        if (terminated.contains(name)) {
            return null;
        }
        Machine machine = getOrCreate(name);
        if (!machine.reachability().everConfirmed() || machine.typeName() == null) {
            machine.describe(type, zone, spot);
        }
        if (machine.address() == null) {
            machine.setAddress(address);
            markChanged(machine);
        }
        return machine;
    }

    /** Learns the machines that a peer told of. */
    public void discoverFrom(PeerStatus status) {
        String start = peers.incarnationId(status.controller());
        for (PeerStatus.MachineStatus p : status.machines()) {
            Machine machine = discover(p.name(), p.address(), p.type(), p.zone(), p.spot());
            if (machine != null) {
                machine.listedBy(start, context.nowMs());
                if (!self.equals(machine.owner())) {
                    machine.worker().advanceTo(p.incarnation(), p.sequence());
                }
            }
        }
    }

    /** True if the machine's owner, another controller, said within the last few seconds that it takes tasks. */
    public boolean isListedByOwner(Machine machine) {
        return machine.owner() != null
                && machine.wasListedBy(peers.incarnationId(machine.owner()), context.nowMs(), PEER_LIST_TTL_MS);
    }

    /** A machine is at fault once tasks of two jobs failed on it that do not fail everywhere. */
    public boolean isFaulty(Machine machine) {
        int blamed = 0;
        for (String job : machine.failedJobs()) {
            JobProgress work = progress.get(job);
            blamed += work == null || !work.isFaulty() ? 1 : 0;
        }
        return blamed >= 2;
    }
}
