package dewlane.core.fleet;

import dewlane.core.message.ControllerContext;
import dewlane.core.model.Attempt;
import dewlane.core.model.AttemptId;
import dewlane.core.model.Job;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;

/**
 * Tracks the attempts that the replica assigns to machines: on which machine each one is, which resources it uses
 * there, and how much of its team's limit. It applies the replica's changes one by one; only the usage by owner is ever
 * recounted.
 */
final class AttemptTracker {
    private final ControllerContext context;
    private final StoreReplica replica;
    private final MachineTable machines;
    private final OwnedMachines owned;
    private final TeamUsage teamUsage;
    private final JobProgressTable progress;

    AttemptTracker(
            ControllerContext context,
            StoreReplica replica,
            MachineTable machines,
            OwnedMachines owned,
            TeamUsage teamUsage,
            JobProgressTable progress) {
        this.context = context;
        this.replica = replica;
        this.machines = machines;
        this.owned = owned;
        this.teamUsage = teamUsage;
        this.progress = progress;
    }

    /**
     * Called when a job's record was added, changed or removed: the job's attempts count only while the record exists.
     */
    void onJobChanged(ReplicaChange.JobChanged change) {
        JobEntry job = change.job();
        if (change.before() == null && change.after() != null) {
            job.slices().forEach(slice -> update(job, job.job(), slice, null, slice.value()));
        } else if (change.before() != null && change.after() == null) {
            Job spec = change.before().job();
            job.slices().forEach(slice -> update(job, spec, slice, slice.value(), null));
            progress.onJobRemoved(job.id());
        } else if (change.after() != null && change.after().isCancelled()) {
            markForPlanningOf(job);
        }
    }

    /** Marks all machines on which the job has attempts to have their commands planned again. */
    void markForPlanningOf(JobEntry job) {
        for (SliceEntry slice : job.slices()) {
            slice.value().attempts().forEach(attempt -> owned.markForPlanning(machines.getOrCreate(attempt.machine())));
        }
    }

    /** Called when a slice has changed. Without its job's record its attempts do not count. */
    void onSliceChanged(ReplicaChange.SliceChanged change) {
        JobEntry job = change.job();
        if (job.job() != null) {
            progress.onSliceObserved(job.id(), change.slice().number(), change.after());
            update(job, job.job(), change.slice(), change.before(), change.after());
        }
    }

    /** Adds the attempts that only {@code after} has and removes those that only {@code before} has. */
    private void update(JobEntry job, Job spec, SliceEntry slice, Slice before, Slice after) {
        Int2ObjectOpenHashMap<Attempt> removed = new Int2ObjectOpenHashMap<>();
        if (before != null) {
            before.attempts().forEach(attempt -> removed.put(attempt.task(), attempt));
        }
        if (after != null) {
            for (Attempt attempt : after.attempts()) {
                Attempt previous = removed.get(attempt.task());
                if (previous != null && previous.number() == attempt.number()) {
                    removed.remove(attempt.task());
                } else {
                    add(job, spec, slice, attempt);
                }
            }
        }
        removed.values().forEach(attempt -> remove(job, spec, attempt));
    }

    private void add(JobEntry job, Job spec, SliceEntry slice, Attempt attempt) {
        Machine machine = machines.getOrCreate(attempt.machine());
        AssignedAttempt assigned = new AssignedAttempt(job, slice, attempt);
        machine.load().add(assigned);
        machine.load().usage().add(spec);
        assigned.setQuotaOwner(ownerOf(slice));
        teamUsage.add(spec, assigned.quotaOwner(), 1);
        owned.markForPlanning(machine);
    }

    private String ownerOf(SliceEntry slice) {
        return Partitioner.ownerOf(replica.partitionMap(), slice.key(), slice.value());
    }

    private void remove(JobEntry job, Job spec, Attempt attempt) {
        Machine machine = machines.getOrCreate(attempt.machine());
        AttemptId id = attempt.idIn(job.id());
        AssignedAttempt assigned = machine.load().remove(id);
        if (assigned == null) {
            return;
        }
        if (!assigned.hasEnded()) {
            machine.load().usage().remove(spec);
        }
        teamUsage.add(spec, assigned.quotaOwner(), -1);
        machine.commands().onAttemptRemoved(id);
        progress.onAttemptRemoved(id);
        machine.load().markIdleIfEmpty(context.nowMs());
        owned.markForPlanning(machine);
        machines.removeIfTerminated(machine);
    }

    /**
     * Called when a heartbeat proves that the attempt ended. Its resources on the machine are free at once; it counts
     * against its team's limit until the end is durable.
     */
    void onAttemptEnded(Machine machine, AssignedAttempt assigned) {
        if (!assigned.hasEnded()) {
            assigned.markEnded();
            machine.load().usage().remove(assigned.job().job());
        }
    }

    /** Recounts the usage by owner, as slices have other owners under another partition map. */
    void recountOwners() {
        teamUsage.clearOwners();
        for (Machine machine : machines.all()) {
            for (AssignedAttempt assigned : machine.attempts()) {
                assigned.setQuotaOwner(ownerOf(assigned.slice()));
                teamUsage.addToOwner(assigned.job().job(), assigned.quotaOwner(), 1);
            }
        }
        progress.recountLaunches();
    }
}
