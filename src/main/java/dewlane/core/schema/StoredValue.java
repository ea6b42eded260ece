package dewlane.core.schema;

import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * A value in the store; each kind of key has its own type (see {@link StoreKeys}). Values are immutable: no value is
 * modified after it has been built.
 */
public sealed interface StoredValue {

    /**
     * A job that has not ended, or that was cancelled and whose tasks may still be on machines.
     *
     * @param job the job as it was submitted
     * @param assignments how the tasks were divided into slices when the job was accepted; assignment N applies until
     *     slice N has its own key
     * @param cancelledAtMs wall-clock time of the cancellation; 0 if the job was not cancelled
     * @param unknown fields that this release does not support, to be written back
     */
    record JobRecord(Job job, List<SliceAssignment> assignments, long cancelledAtMs, UnknownFields unknown)
            implements StoredValue {
        /** Creates a record without unknown fields. */
        public JobRecord(Job job, List<SliceAssignment> assignments, long cancelledAtMs) {
            this(job, assignments, cancelledAtMs, UnknownFields.NONE);
        }

        /**
         * Returns a copy that marks the job as cancelled. None of its tasks is launched any more, so the assignments
         * are omitted if the value would exceed the size limit.
         *
         * @param atMs wall-clock time of the cancellation
         * @param maxBytes the size limit of a value
         */
        public JobRecord asCancelled(long atMs, ValueSizer sizer, int maxBytes) {
            JobRecord marked = new JobRecord(job, assignments, atMs, unknown);
            return sizer.bytes(marked) <= maxBytes ? marked : new JobRecord(job, List.of(), atMs, unknown);
        }

        /** Returns true if the job was cancelled. */
        public boolean isCancelled() {
            return cancelledAtMs > 0;
        }
    }

    /**
     * A range of a job's tasks and the controller that launches them.
     *
     * @param owner the controller's name
     * @param first the number of the first task within the job
     * @param count how many tasks there are
     */
    record SliceAssignment(String owner, int first, int count) {
        /** Returns the initial contents of the slice, which apply until the slice is stored. */
        public Slice slice() {
            return new Slice(owner, first, count, 0, new BitSet(), List.of());
        }
    }

    /**
     * The result of a job that has ended; never changed and never deleted.
     *
     * @param cancelled true if the job was cancelled, false if every task is done
     * @param endedAtMs wall-clock time at which the job ended
     */
    record JobResult(boolean cancelled, long endedAtMs) implements StoredValue {}

    /**
     * A range of a job's tasks, with their outcomes and attempts.
     *
     * @param owner the controller that launches its tasks; if it is not a member, the owner of the slice's key does
     * @param first the number of the first task within the job
     * @param count how many tasks there are
     * @param launchCount how many launches have been written, which is also the number of the latest launch
     * @param done tasks that are done, as offsets from {@code first}
     * @param attempts launches that may be on a machine, at most one for each task
     * @param unknown fields that this release does not support, to be written back
     */
    record Slice(
            String owner,
            int first,
            int count,
            int launchCount,
            BitSet done,
            List<Attempt> attempts,
            UnknownFields unknown)
            implements StoredValue {
        /** Creates a slice without unknown fields. */
        public Slice(String owner, int first, int count, int launchCount, BitSet done, List<Attempt> attempts) {
            this(owner, first, count, launchCount, done, attempts, UnknownFields.NONE);
        }

        /** Returns a copy with the given done tasks and remaining attempts. */
        public Slice withOutcomes(BitSet nowDone, List<Attempt> remainingAttempts) {
            return new Slice(owner, first, count, launchCount, nowDone, List.copyOf(remainingAttempts), unknown);
        }

        /** Returns a copy after one more launch, owned by the launching controller. */
        public Slice withLaunch(String launcher, List<Attempt> liveAttempts) {
            return new Slice(launcher, first, count, launchCount + 1, done, List.copyOf(liveAttempts), unknown);
        }

        /** Returns a copy owned by another controller. */
        public Slice withOwner(String other) {
            return new Slice(other, first, count, launchCount, done, attempts, unknown);
        }

        /** Returns the {@code length} tasks that begin {@code from} tasks after the first, as a separate slice. */
        public Slice subrange(int from, int length) {
            BitSet doneThere = done.get(from, from + length);
            List<Attempt> attemptsThere = new ArrayList<>();
            for (Attempt attempt : attempts) {
                int offset = attempt.task() - first;
                if (offset >= from && offset < from + length) {
                    attemptsThere.add(attempt);
                }
            }
            return new Slice(owner, first + from, length, launchCount, doneThere, List.copyOf(attemptsThere), unknown);
        }

        /** Returns true if every task of the slice is done. */
        public boolean isComplete() {
            return done.cardinality() == count;
        }

        /** Returns true if the task is done; its number is that within the job. */
        public boolean isDone(int task) {
            return done.get(task - first);
        }

        /** Returns the number of tasks that are not done and cannot be on a machine. */
        public int pendingCount() {
            return count - done.cardinality() - attempts.size();
        }

        /** Returns the tasks that are done or may be on a machine, as offsets from {@code first}. */
        public BitSet nonPendingTasks() {
            BitSet tasks = (BitSet) done.clone();
            for (Attempt attempt : attempts) {
                tasks.set(attempt.task() - first);
            }
            return tasks;
        }

        /** Returns the attempt that may be running the task, or null if there is none. */
        public Attempt attemptOf(int task) {
            for (Attempt attempt : attempts) {
                if (attempt.task() == task) {
                    return attempt;
                }
            }
            return null;
        }
    }

    /**
     * The live controllers, and reassignments of machines and quota. {@link Partitioner} assigns all other machines.
     *
     * @param epoch increases with each change of the map; fencing tokens are derived from it
     * @param members the live controllers
     * @param reassignedMachines machines that could not reach the controller of their partition, and the controller
     *     that owns them instead
     * @param quotaTransfers differences between shares of teams' limits and equal shares; each team's add up to zero
     * @param schemaVersions by controller, live or not, the newest {@link SchemaVersion} that it has published. Release
     *     0.1 drops this field from each map that it writes, which it does whenever it joins
     * @param unknown fields that this release does not support, to be written back
     */
    record PartitionMap(
            long epoch,
            List<Member> members,
            Map<String, String> reassignedMachines,
            List<QuotaTransfer> quotaTransfers,
            Map<String, Integer> schemaVersions,
            UnknownFields unknown)
            implements StoredValue {
        /** Creates a map without schema versions and unknown fields. */
        public PartitionMap(
                long epoch,
                List<Member> members,
                Map<String, String> reassignedMachines,
                List<QuotaTransfer> quotaTransfers) {
            this(epoch, members, reassignedMachines, quotaTransfers, Map.of(), UnknownFields.NONE);
        }

        /** Creates a map with equal shares of quota, without schema versions and unknown fields. */
        public PartitionMap(long epoch, List<Member> members, Map<String, String> reassignedMachines) {
            this(epoch, members, reassignedMachines, List.of());
        }

        /** Returns a copy with other reassigned machines. */
        public PartitionMap withReassignedMachines(Map<String, String> machines) {
            return new PartitionMap(epoch, members, machines, quotaTransfers, schemaVersions, unknown);
        }

        /** Returns a copy with other transfers of quota. */
        public PartitionMap withQuotaTransfers(List<QuotaTransfer> transfers) {
            return new PartitionMap(epoch, members, reassignedMachines, transfers, schemaVersions, unknown);
        }

        /** Returns true if the controller is a member. */
        public boolean hasMember(String name) {
            return incarnation(name) != 0;
        }

        /** Returns the epoch at which the controller joined, or 0 if it is not a member. */
        public long incarnation(String name) {
            for (Member member : members) {
                if (member.name().equals(name)) {
                    return member.incarnation();
                }
            }
            return 0;
        }
    }

    /**
     * The difference between a controller's share of a team's limit and an equal share.
     *
     * @param team the team's name
     * @param controller the controller's name
     * @param cpus CPUs more than an equal share; negative if fewer
     * @param gpus GPUs more than an equal share; negative if fewer
     */
    record QuotaTransfer(String team, String controller, double cpus, double gpus) {
        /** Returns true if both are for the same controller's share of the same team's limit. */
        public boolean isForSameShareAs(QuotaTransfer other) {
            return team.equals(other.team) && controller.equals(other.controller);
        }

        /** Returns the sum of both transfers; the other one must be for the same share. */
        public QuotaTransfer plus(QuotaTransfer other) {
            return new QuotaTransfer(team, controller, cpus + other.cpus, gpus + other.gpus);
        }
    }

    /**
     * A live controller.
     *
     * @param name the controller's name
     * @param incarnation the epoch of the map with which the controller joined after its latest start
     */
    record Member(String name, long incarnation) {}

    /**
     * Shows that a controller is alive. It is attached to the controller's lease and deleted when the lease expires.
     *
     * @param incarnation the epoch of the map with which the controller joined after its latest start
     * @param schemaVersion the newest {@link SchemaVersion} that the controller supports
     */
    record Presence(long incarnation, int schemaVersion) implements StoredValue {
        /** Creates the presence of a controller of this release. */
        public Presence(long incarnation) {
            this(incarnation, SchemaVersion.CURRENT);
        }
    }

    /**
     * What a team uses as of the latest launch for it. Each launch for a team with a small limit writes this record, so
     * that such launches of all controllers are serialized.
     *
     * @param cpus CPUs in use
     * @param gpus GPUs in use
     */
    record TeamUsageRecord(double cpus, double gpus) implements StoredValue {}

    /**
     * Forbids launches on machines that are being deleted or are terminated.
     *
     * @param state what is done with the machines
     * @param reason the reason, for the log
     * @param machines the names of the machines if the record covers several; empty if its key names the only one
     * @param unknown fields that this release does not support, to be written back
     */
    record DecommissionRecord(DecommissionState state, String reason, List<String> machines, UnknownFields unknown)
            implements StoredValue {
        /** Creates a record without unknown fields. */
        public DecommissionRecord(DecommissionState state, String reason, List<String> machines) {
            this(state, reason, machines, UnknownFields.NONE);
        }
    }

    /** What is done with a decommissioned machine. */
    enum DecommissionState {
        /** The machine is idle and is deleted, unless a launch on it is written first. */
        SCALE_IN,
        /** The machine is unresponsive or faulty and is deleted with all tasks on it. */
        DELETE,
        /** The machine is proven terminated. */
        TERMINATED
    }

    /**
     * A value that this release cannot read, and why. Whatever depends on it is left unchanged until it can be read.
     */
    record Unreadable(String reason) implements StoredValue {}
}
