package dewlane.core;

import java.util.BitSet;
import java.util.List;
import java.util.Map;

/** Everything dewlane keeps in the state service. Values are never changed in place. */
public sealed interface Value {

    /**
     * A job that is not final, or is cancelled with tasks that may still be on machines.
     *
     * @param deals how its tasks were dealt at acceptance; deal N holds until slice N has a key of its own
     */
    record JobRecord(Job job, List<Deal> deals, long abortedMs) implements Value {
        /** True if the job was cancelled. */
        public boolean aborted() {
            return abortedMs > 0;
        }
    }

    /** A run of a job's tasks and the controller they are dealt to. */
    record Deal(String owner, int first, int count) {
        Slice slice() {
            return new Slice(owner, first, count, 0, new BitSet(), List.of());
        }
    }

    /** The final state of a job; never deleted. */
    record FinalRecord(boolean aborted, long atMs) implements Value {}

    /**
     * A run of a job's tasks.
     *
     * @param owner the controller it is dealt to; another acts once that one left the map
     * @param launches number of the latest launch
     * @param done tasks that are done, as offsets from {@code first}
     */
    record Slice(String owner, int first, int count, int launches, BitSet done, List<Attempt> attempts)
            implements Value {
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
     */
    record ClusterMap(long epoch, List<Member> members, Map<String, String> moved, List<Loan> loans) implements Value {
        public ClusterMap(long epoch, List<Member> members, Map<String, String> moved) {
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
    record Loan(String team, String node, double cpus, double gpus) {}

    /** A controller and the epoch at which it joined. */
    record Member(String name, long incarnation) {}

    /** Attached to a controller's lease: it is there as long as the controller renews. */
    record Presence(long incarnation) implements Value {}

    /** Changed by every launch for a team with a limit, so that launches for it are one after the other. */
    record TeamRecord(double cpus, double gpus) implements Value {}

    /**
     * Why no launch may be written for a machine any more.
     *
     * @param names the machines, if the record is about several; else its key names the one
     */
    record MachineRecord(MachineFate fate, String reason, List<String> names) implements Value {}

    /** What is to become of a machine. */
    enum MachineFate {
        /** idle, to be returned unless a launch came first */
        RETURN,
        /** silent or faulty, to be deleted whatever is on it */
        DELETE,
        /** proven gone */
        GONE
    }
}
