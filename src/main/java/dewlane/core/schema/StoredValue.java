package dewlane.core.schema;

import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * Everything dewlane keeps in the store, one type for each kind of key (see {@link StoreKeys}). Values are never
 * changed in place.
 */
public sealed interface StoredValue {

    /**
     * A job that has not ended, or is cancelled with tasks that may still be on machines.
     *
     * @param job the job as it was submitted
     * @param assignments how its tasks were cut into slices at acceptance; assignment N holds until slice N has a key
     *     of its own
     * @param cancelledAtMs time of day of the cancellation; 0 if the job was not cancelled
     * @param unknown fields of newer versions, to be written back
     */
    record JobRecord(Job job, List<SliceAssignment> assignments, long cancelledAtMs, UnknownFields unknown)
            implements StoredValue {
        /** A record without fields of newer versions. */
        public JobRecord(Job job, List<SliceAssignment> assignments, long cancelledAtMs) {
            this(job, assignments, cancelledAtMs, UnknownFields.NONE);
        }

        /**
         * The same record with the mark that the job is cancelled. Nothing of it is launched any more, so its
         * assignments are left out where a value has no room for them.
         *
         * @param atMs time of day of the cancellation
         * @param maxBytes the size that a value may have
         */
        public JobRecord asCancelled(long atMs, ValueSizer sizer, int maxBytes) {
            JobRecord marked = new JobRecord(job, assignments, atMs, unknown);
            return sizer.bytes(marked) <= maxBytes ? marked : new JobRecord(job, List.of(), atMs, unknown);
        }

        /** True if the job was cancelled. */
        public boolean isCancelled() {
            return cancelledAtMs > 0;
        }
    }

    /**
     * A range of a job's tasks and the controller that is to run them.
     *
     * @param owner the controller's name
     * @param first the number of the first task within the job
     * @param count how many tasks there are
     */
    record SliceAssignment(String owner, int first, int count) {
        /** The slice as it stands until its first change is stored. */
        public Slice slice() {
            return new Slice(owner, first, count, 0, new BitSet(), List.of());
        }
    }

    /**
     * The result of a job that has ended; never changed and never deleted.
     *
     * @param cancelled true if the job was cancelled, false if every task is done
     * @param endedAtMs time of day at which the job ended
     */
    record JobResult(boolean cancelled, long endedAtMs) implements StoredValue {}

    /**
     * A range of a job's tasks, with their outcomes and attempts.
     *
     * @param owner the controller that launches its tasks; another one does once that one is no member any more
     * @param first the number of the first task within the job
     * @param count how many tasks there are
     * @param launchCount how many launches have been written, so the number of the latest one
     * @param done tasks that are done, as offsets from {@code first}
     * @param attempts launches that may be on a machine, at most one for each task
     * @param unknown fields of newer versions, to be written back
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
        /** A slice without fields of newer versions. */
        public Slice(String owner, int first, int count, int launchCount, BitSet done, List<Attempt> attempts) {
            this(owner, first, count, launchCount, done, attempts, UnknownFields.NONE);
        }

        /** The same slice with other outcomes. */
        public Slice withOutcomes(BitSet nowDone, List<Attempt> remainingAttempts) {
            return new Slice(owner, first, count, launchCount, nowDone, List.copyOf(remainingAttempts), unknown);
        }

        /** The same slice owned by the launching controller, after one more launch. */
        public Slice withLaunch(String launcher, List<Attempt> liveAttempts) {
            return new Slice(launcher, first, count, launchCount + 1, done, List.copyOf(liveAttempts), unknown);
        }

        /** The same slice assigned to another controller. */
        public Slice withOwner(String other) {
            return new Slice(other, first, count, launchCount, done, attempts, unknown);
        }

        /** The {@code length} tasks that begin {@code from} tasks after the first, as a slice of their own. */
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

        /** True if every task of the slice is done. */
        public boolean isComplete() {
            return done.cardinality() == count;
        }

        /** True if the task, numbered within its job, is done. */
        public boolean isDone(int task) {
            return done.get(task - first);
        }

        /** How many tasks are neither done nor may be on a machine. */
        public int pendingCount() {
            return count - done.cardinality() - attempts.size();
        }

        /** Tasks that are done or may be on a machine, as offsets from {@code first}. */
        public BitSet nonPendingTasks() {
            BitSet occupied = (BitSet) done.clone();
            for (Attempt attempt : attempts) {
                occupied.set(attempt.task() - first);
            }
            return occupied;
        }

        /** The attempt that may be running the task, or null. */
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
     * The live controllers and who owns what beyond the hash of {@link Partitioner}.
     *
     * @param epoch grows with each change of the map; fencing tokens are derived from it
     * @param members the live controllers
     * @param reassignedMachines machines that could not reach the controller of their partition, and the controller
     *     that owns them instead
     * @param quotaTransfers by how much shares of teams' limits differ from equal ones; those of a team add up to zero
     * @param schemaVersions by controller, live or not, the newest form of stored values that it has shown to know, see
     *     {@link SchemaVersion}. Version 0.1 drops this field from each map that it writes, and it writes one to join
     * @param unknown fields of newer versions, to be written back
     */
    record PartitionMap(
            long epoch,
            List<Member> members,
            Map<String, String> reassignedMachines,
            List<QuotaTransfer> quotaTransfers,
            Map<String, Integer> schemaVersions,
            UnknownFields unknown)
            implements StoredValue {
        /** A map that says nothing of schema versions, without fields of newer versions. */
        public PartitionMap(
                long epoch,
                List<Member> members,
                Map<String, String> reassignedMachines,
                List<QuotaTransfer> quotaTransfers) {
            this(epoch, members, reassignedMachines, quotaTransfers, Map.of(), UnknownFields.NONE);
        }

        /** A map with equal shares of quota that says nothing of schema versions, without fields of newer versions. */
        public PartitionMap(long epoch, List<Member> members, Map<String, String> reassignedMachines) {
            this(epoch, members, reassignedMachines, List.of());
        }

        /** The same map with other reassigned machines. */
        public PartitionMap withReassignedMachines(Map<String, String> machines) {
            return new PartitionMap(epoch, members, machines, quotaTransfers, schemaVersions, unknown);
        }

        /** The same map with other transfers of quota. */
        public PartitionMap withQuotaTransfers(List<QuotaTransfer> transfers) {
            return new PartitionMap(epoch, members, reassignedMachines, transfers, schemaVersions, unknown);
        }

        /** True if the controller is a member. */
        public boolean hasMember(String name) {
            return incarnation(name) != 0;
        }

        /** The epoch at which the controller joined, or 0 if it is no member. */
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
     * By how much a controller's share of a team's limit differs from an equal one.
     *
     * @param team the team's name
     * @param controller the controller's name
     * @param cpus CPUs beyond an equal share; negative if there are fewer
     * @param gpus GPUs beyond an equal share; negative if there are fewer
     */
    record QuotaTransfer(String team, String controller, double cpus, double gpus) {
        /** True if both are about the same controller's share of the same team's limit. */
        public boolean isForSameShareAs(QuotaTransfer other) {
            return team.equals(other.team) && controller.equals(other.controller);
        }

        /** Both transfers in one; the other one must be for the same share. */
        public QuotaTransfer plus(QuotaTransfer other) {
            return new QuotaTransfer(team, controller, cpus + other.cpus, gpus + other.gpus);
        }
    }

    /**
     * A live controller.
     *
     * @param name the controller's name
     * @param incarnation the epoch of the map by which this start of the controller joined
     */
    record Member(String name, long incarnation) {}

    /**
     * Attached to a controller's lease: it is there as long as the controller renews.
     *
     * @param incarnation the epoch of the map by which this start of the controller joined
     * @param schemaVersion the newest form of stored values that the controller knows, see {@link SchemaVersion}
     */
    record Presence(long incarnation, int schemaVersion) implements StoredValue {
        /** The presence of a controller of this version. */
        public Presence(long incarnation) {
            this(incarnation, SchemaVersion.CURRENT);
        }
    }

    /**
     * What a team uses as of the latest launch for it. Each launch for a team with a small limit writes this, so that
     * they are made one after the other.
     *
     * @param cpus CPUs in use
     * @param gpus GPUs in use
     */
    record TeamUsageRecord(double cpus, double gpus) implements StoredValue {}

    /**
     * Why no launch may be written for a machine any more.
     *
     * @param state what is to become of the machine
     * @param reason a word for the log
     * @param machines the machines, if the record is about several; otherwise its key names the one
     * @param unknown fields of newer versions, to be written back
     */
    record DecommissionRecord(DecommissionState state, String reason, List<String> machines, UnknownFields unknown)
            implements StoredValue {
        /** A record without fields of newer versions. */
        public DecommissionRecord(DecommissionState state, String reason, List<String> machines) {
            this(state, reason, machines, UnknownFields.NONE);
        }
    }

    /** What is to become of a machine. */
    enum DecommissionState {
        /** Idle, to be deleted unless a launch came first. */
        SCALE_IN,
        /** Silent or faulty, to be deleted whatever is on it. */
        DELETE,
        /** Proven gone. */
        TERMINATED
    }

    /**
     * A value that this version cannot read, and why. What depends on it is held until it can be read or is replaced.
     */
    record Unreadable(String reason) implements StoredValue {}
}
