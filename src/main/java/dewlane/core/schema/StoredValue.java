package dewlane.core.schema;

import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/** Everything dewlane keeps in the state service. Values are never changed in place. */
public sealed interface StoredValue {

    /**
     * A job that is not final, or is cancelled with tasks that may still be on machines.
     *
     * @param assignments how its tasks were dealt at acceptance; deal N holds until slice N has a key of its own
     */
    record JobRecord(Job job, List<SliceAssignment> assignments, long cancelledAtMs, UnknownFields unknown)
            implements StoredValue {
        public JobRecord(Job job, List<SliceAssignment> assignments, long cancelledAtMs) {
            this(job, assignments, cancelledAtMs, UnknownFields.NONE);
        }

        /**
         * The same record with the mark that the job is cancelled. Nothing of it is launched any more, so how it was
         * dealt is left out where a value has no room for it.
         */
        public JobRecord asCancelled(long atMs, ValueSizer size, int mostBytes) {
            JobRecord marked = new JobRecord(job, assignments, atMs, unknown);
            return size.bytes(marked) <= mostBytes ? marked : new JobRecord(job, List.of(), atMs, unknown);
        }

        /** True if the job was cancelled. */
        public boolean isCancelled() {
            return cancelledAtMs > 0;
        }
    }

    /** A run of a job's tasks and the controller they are dealt to. */
    record SliceAssignment(String owner, int first, int count) {
        /** The slice as it stands until its first change is stored. */
        public Slice slice() {
            return new Slice(owner, first, count, 0, new BitSet(), List.of());
        }
    }

    /** The final state of a job; never deleted. */
    record JobResult(boolean cancelled, long endedAtMs) implements StoredValue {}

    /**
     * A run of a job's tasks.
     *
     * @param owner the controller it is dealt to; another acts once that one left the map
     * @param launchCount number of the latest launch
     * @param done tasks that are done, as offsets from {@code first}
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
        public Slice(String owner, int first, int count, int launchCount, BitSet done, List<Attempt> attempts) {
            this(owner, first, count, launchCount, done, attempts, UnknownFields.NONE);
        }

        /** The same slice with other outcomes. */
        public Slice withOutcomes(BitSet nowDone, List<Attempt> left) {
            return new Slice(owner, first, count, launchCount, nowDone, List.copyOf(left), unknown);
        }

        /** The same slice owned by the launching controller, after one more launch. */
        public Slice withLaunch(String launcher, List<Attempt> live) {
            return new Slice(launcher, first, count, launchCount + 1, done, List.copyOf(live), unknown);
        }

        /** The same slice dealt to another controller. */
        public Slice withOwner(String other) {
            return new Slice(other, first, count, launchCount, done, attempts, unknown);
        }

        /** The run of {@code length} tasks that begins {@code from} tasks after the first. */
        public Slice subrange(int from, int length) {
            BitSet doneThere = done.get(from, from + length);
            List<Attempt> there = new ArrayList<>();
            for (Attempt attempt : attempts) {
                int offset = attempt.task() - first;
                if (offset >= from && offset < from + length) {
                    there.add(attempt);
                }
            }
            return new Slice(owner, first + from, length, launchCount, doneThere, List.copyOf(there), unknown);
        }

        /** True if every task of the slice is done. */
        public boolean isComplete() {
            return done.cardinality() == count;
        }

        /** True if the task, numbered within its job, is done. */
        public boolean isDone(int task) {
            return done.get(task - first);
        }

        /** Tasks that are neither done nor may be on a machine. */
        public int pendingCount() {
            return count - done.cardinality() - attempts.size();
        }

        /** Tasks that are done or may be on a machine, as offsets from {@code first}. */
        public BitSet occupied() {
            BitSet taken = (BitSet) done.clone();
            for (Attempt attempt : attempts) {
                taken.set(attempt.task() - first);
            }
            return taken;
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
     * The live controllers. Each change has a higher epoch.
     *
     * @param reassignedMachines machines that could not reach the controller of their part, and the one that took them
     *     over
     * @param quotaTransfers by how much shares of teams' limits differ from equal ones; those of a team add up to
     *     nothing
     * @param schemaVersions by controller, live or not, the newest form of stored values that it has shown to know, see
     *     {@link SchemaVersion}. Version 0.1 drops this field from each map that it writes, and it writes one to join
     */
    record PartitionMap(
            long epoch,
            List<Member> members,
            Map<String, String> reassignedMachines,
            List<QuotaTransfer> quotaTransfers,
            Map<String, Integer> schemaVersions,
            UnknownFields unknown)
            implements StoredValue {
        public PartitionMap(
                long epoch,
                List<Member> members,
                Map<String, String> reassignedMachines,
                List<QuotaTransfer> quotaTransfers) {
            this(epoch, members, reassignedMachines, quotaTransfers, Map.of(), UnknownFields.NONE);
        }

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

        /** The epoch at which the controller joined, or 0 if it is not in the map. */
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

    /** A controller and the epoch at which it joined. */
    record Member(String name, long incarnation) {}

    /**
     * Attached to a controller's lease: it is there as long as the controller renews.
     *
     * @param schemaVersion the newest form of stored values that the controller knows, see {@link SchemaVersion}
     */
    record Presence(long incarnation, int schemaVersion) implements StoredValue {
        public Presence(long incarnation) {
            this(incarnation, SchemaVersion.CURRENT);
        }
    }

    /** Changed by every launch for a team with a limit, so that launches for it are one after the other. */
    record TeamUsageRecord(double cpus, double gpus) implements StoredValue {}

    /**
     * Why no launch may be written for a machine any more.
     *
     * @param machines the machines, if the record is about several; else its key names the one
     */
    record DecommissionRecord(DecommissionState state, String reason, List<String> machines, UnknownFields unknown)
            implements StoredValue {
        public DecommissionRecord(DecommissionState state, String reason, List<String> machines) {
            this(state, reason, machines, UnknownFields.NONE);
        }
    }

    /** A value that this version cannot read. Whatever depends on it is held until it can be read or is replaced. */
    record Unreadable(String reason) implements StoredValue {}

    /** What is to become of a machine. */
    enum DecommissionState {
        /** idle, to be returned unless a launch came first */
        SCALE_IN,
        /** silent or faulty, to be deleted whatever is on it */
        DELETE,
        /** proven gone */
        TERMINATED
    }
}
