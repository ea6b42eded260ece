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
 * Follows the attempts that the replica holds against machines: which machine each is on, and what it uses there and of
 * its team's limit. It follows the replica change by change, so nothing is recounted but the owners of usage.
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

    /** A job's record appeared or vanished: its attempts count while it is there. */
    void onJobChanged(ReplicaChange.JobChanged change) {
        JobEntry job = change.job();
        if (change.before() == null && change.after() != null) {
            job.slices().forEach(slice -> update(job, job.job(), slice, null, slice.value()));
        } else if (change.before() != null && change.after() == null) {
            Job spec = change.before().job();
            job.slices().forEach(slice -> update(job, spec, slice, slice.value(), null));
            progress.jobEnded(job.id());
        } else if (change.after() != null && change.after().isCancelled()) {
            markMachinesChanged(job);
        }
    }

    /** There may be something to command wherever the job has attempts. */
    void markMachinesChanged(JobEntry job) {
        for (SliceEntry slice : job.slices()) {
            slice.value().attempts().forEach(attempt -> owned.markChanged(machines.getOrCreate(attempt.machine())));
        }
    }

    /** A slice has changed; without its job's record its attempts do not count. */
    void onSliceChanged(ReplicaChange.SliceChanged change) {
        JobEntry job = change.job();
        if (job.job() != null) {
            progress.sliceObserved(job.id(), change.slice().number(), change.after());
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
        owned.markChanged(machine);
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
        machine.commands().attemptRemoved(id);
        progress.attemptRemoved(id);
        machine.load().markIdleIfEmpty(context.nowMs());
        owned.markChanged(machine);
        machines.removeIfTerminated(machine);
    }

    /** A heartbeat proves the attempt's end: its room is free, but its team's limit counts it until that is durable. */
    void attemptEnded(Machine machine, AssignedAttempt assigned) {
        if (!assigned.hasEnded()) {
            assigned.markEnded();
            machine.load().usage().remove(assigned.job().job());
        }
    }

    /** Under another partition map slices have other owners, so usage is recounted by owner. */
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
