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
     * @param deals how its tasks were dealt at acceptance; deal N holds until slice N has a key of its own
     */
    record JobRecord(Job job, List<SliceAssignment> deals, long abortedMs, UnknownFields unknown)
            implements StoredValue {
        public JobRecord(Job job, List<SliceAssignment> deals, long abortedMs) {
            this(job, deals, abortedMs, UnknownFields.NONE);
        }

        /**
         * The same record with the mark that the job is cancelled. Nothing of it is launched any more, so how it was
         * dealt is left out where a value has no room for it.
         */
        public JobRecord cancelled(long atMs, ValueSizer size, int mostBytes) {
            JobRecord marked = new JobRecord(job, deals, atMs, unknown);
            return size.bytes(marked) <= mostBytes ? marked : new JobRecord(job, List.of(), atMs, unknown);
        }

        /** True if the job was cancelled. */
        public boolean aborted() {
            return abortedMs > 0;
        }
    }

    /** A run of a job's tasks and the controller they are dealt to. */
    record SliceAssignment(String owner, int first, int count) {
        public Slice slice() {
            return new Slice(owner, first, count, 0, new BitSet(), List.of());
        }
    }

    /** The final state of a job; never deleted. */
    record JobResult(boolean aborted, long atMs) implements StoredValue {}

    /**
     * A run of a job's tasks.
     *
     * @param owner the controller it is dealt to; another acts once that one left the map
     * @param launches number of the latest launch
     * @param done tasks that are done, as offsets from {@code first}
     */
    record Slice(
            String owner,
            int first,
            int count,
            int launches,
            BitSet done,
            List<Attempt> attempts,
            UnknownFields unknown)
            implements StoredValue {
        public Slice(String owner, int first, int count, int launches, BitSet done, List<Attempt> attempts) {
            this(owner, first, count, launches, done, attempts, UnknownFields.NONE);
        }

        /** The same slice with other outcomes. */
        public Slice withOutcomes(BitSet nowDone, List<Attempt> left) {
            return new Slice(owner, first, count, launches, nowDone, List.copyOf(left), unknown);
        }

        /** The same slice owned by the launching controller, after one more launch. */
        public Slice withLaunch(String launcher, List<Attempt> live) {
            return new Slice(launcher, first, count, launches + 1, done, List.copyOf(live), unknown);
        }

        /** The same slice dealt to another controller. */
        public Slice withOwner(String other) {
            return new Slice(other, first, count, launches, done, attempts, unknown);
        }

        /** The run of {@code length} tasks that begins {@code from} tasks after the first. */
        public Slice part(int from, int length) {
            BitSet doneThere = done.get(from, from + length);
            List<Attempt> there = new ArrayList<>();
            for (Attempt a : attempts) {
                int offset = a.task() - first;
                if (offset >= from && offset < from + length) {
                    there.add(a);
                }
            }
            return new Slice(owner, first + from, length, launches, doneThere, List.copyOf(there), unknown);
        }

        /** True if every task of the slice is done. */
        public boolean complete() {
            return done.cardinality() == count;
        }

        /** True if the task, numbered within its job, is done. */
        public boolean isDone(int task) {
            return done.get(task - first);
        }

        /** Tasks that are neither done nor may be on a machine. */
        public int waiting() {
            return count - done.cardinality() - attempts.size();
        }

        /** Tasks that are done or may be on a machine, as offsets from {@code first}. */
        public BitSet taken() {
            BitSet taken = (BitSet) done.clone();
            for (Attempt a : attempts) {
                taken.set(a.task() - first);
            }
            return taken;
        }

        /** The attempt that may be running the task, or null. */
        public Attempt attemptOf(int task) {
            for (Attempt a : attempts) {
                if (a.task() == task) {
                    return a;
                }
            }
            return null;
        }
    }

    /**
     * The live controllers. Each change has a higher epoch.
     *
     * @param moved machines that could not reach the controller of their part, and the one that took them over
     * @param loans by how much shares of teams' limits differ from equal ones; those of a team add up to nothing
     * @param formats by controller, live or not, the newest form of stored values that it has shown to know, see
     *     {@link SchemaVersion}. Version 0.1 drops this field from each map that it writes, and it writes one to join
     */
    record PartitionMap(
            long epoch,
            List<Member> members,
            Map<String, String> moved,
            List<QuotaTransfer> loans,
            Map<String, Integer> formats,
            UnknownFields unknown)
            implements StoredValue {
        public PartitionMap(long epoch, List<Member> members, Map<String, String> moved, List<QuotaTransfer> loans) {
            this(epoch, members, moved, loans, Map.of(), UnknownFields.NONE);
        }

        public PartitionMap(long epoch, List<Member> members, Map<String, String> moved) {
            this(epoch, members, moved, List.of());
        }

        /** True if the controller is a member. */
        public boolean has(String name) {
            return incarnation(name) != 0;
        }

        /** The epoch at which the controller joined, or 0 if it is not in the map. */
        public long incarnation(String name) {
            for (Member m : members) {
                if (m.name().equals(name)) {
                    return m.incarnation();
                }
            }
            return 0;
        }
    }

    /** What a controller's share of a team's limit has beyond an equal one, or less if it is negative. */
    record QuotaTransfer(String team, String node, double cpus, double gpus) {}

    /** A controller and the epoch at which it joined. */
    record Member(String name, long incarnation) {}

    /**
     * Attached to a controller's lease: it is there as long as the controller renews.
     *
     * @param format the newest form of stored values that the controller knows, see {@link SchemaVersion}
     */
    record Presence(long incarnation, int format) implements StoredValue {
        public Presence(long incarnation) {
            this(incarnation, SchemaVersion.CURRENT);
        }
    }

    /** Changed by every launch for a team with a limit, so that launches for it are one after the other. */
    record TeamUsageRecord(double cpus, double gpus) implements StoredValue {}

    /**
     * Why no launch may be written for a machine any more.
     *
     * @param names the machines, if the record is about several; else its key names the one
     */
    record DecommissionRecord(DecommissionState fate, String reason, List<String> names, UnknownFields unknown)
            implements StoredValue {
        public DecommissionRecord(DecommissionState fate, String reason, List<String> names) {
            this(fate, reason, names, UnknownFields.NONE);
        }
    }

    /** A value that this version cannot read. Whatever depends on it is held until it can be read or is replaced. */
    record Unreadable(String reason) implements StoredValue {}

    /** What is to become of a machine. */
    enum DecommissionState {
        /** idle, to be returned unless a launch came first */
        RETURN,
        /** silent or faulty, to be deleted whatever is on it */
        DELETE,
        /** proven gone */
        GONE
    }
}
