package dewlane.core.store;

import dewlane.core.schema.Value.ClusterMap;
import dewlane.core.schema.Value.FinalRecord;
import dewlane.core.schema.Value.JobRecord;
import dewlane.core.schema.Value.MachineRecord;
import dewlane.core.schema.Value.Slice;

/** What a change of the state service changed in the {@link Replica}; told after the change is in place. */
public sealed interface Delta {
    /** A slice has another value; null where it is new or gone. */
    record SliceChanged(JobEntry job, SliceEntry slice, Slice before, Slice after) implements Delta {}

    /** A job has another record; null where it is new or gone. */
    record JobChanged(JobEntry job, JobRecord before, JobRecord after) implements Delta {}

    /** The map is another; {@code complete} if no map between the two was missed. */
    record MapChanged(ClusterMap before, ClusterMap after, boolean complete) implements Delta {}

    /** A machine has a record. */
    record MachineChanged(String name, MachineRecord after) implements Delta {}

    /** A job's final state became known. */
    record Ended(String job, FinalRecord result) implements Delta {}

    /** A key has a value that cannot be read. */
    record Unread(String key, String reason) implements Delta {}
}
