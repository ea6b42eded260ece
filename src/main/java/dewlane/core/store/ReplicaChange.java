package dewlane.core.store;

import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;

/** What a change of the state service changed in the {@link StoreReplica}; told after the change is in place. */
public sealed interface ReplicaChange {
    /** A slice has another value; null where it is new or gone. */
    record SliceChanged(JobEntry job, SliceEntry slice, Slice before, Slice after) implements ReplicaChange {}

    /** A job has another record; null where it is new or gone. */
    record JobChanged(JobEntry job, JobRecord before, JobRecord after) implements ReplicaChange {}

    /** The map is another; {@code complete} if no map between the two was missed. */
    record PartitionMapChanged(PartitionMap before, PartitionMap after, boolean complete) implements ReplicaChange {}

    /** A machine has a record. */
    record MachineDecommissioned(String name, DecommissionRecord after) implements ReplicaChange {}

    /** A job's final state became known. */
    record JobEnded(String job, JobResult result) implements ReplicaChange {}

    /** A key has a value that cannot be read. */
    record ValueUnreadable(String key, String reason) implements ReplicaChange {}
}
