package dewlane.core.store;

import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;

/** What a change of the store changed in the {@link StoreReplica}; passed on after the change is in place. */
public sealed interface ReplicaChange {
    /**
     * A slice has another value.
     *
     * @param before the value until now, or null if the slice is new
     * @param after the present value, or null if the slice was deleted
     */
    record SliceChanged(JobEntry job, SliceEntry slice, Slice before, Slice after) implements ReplicaChange {}

    /**
     * A job has another record.
     *
     * @param before the record until now, or null if the job is new
     * @param after the present record, or null if it was deleted
     */
    record JobChanged(JobEntry job, JobRecord before, JobRecord after) implements ReplicaChange {}

    /**
     * The partition map is another.
     *
     * @param before the map until now, or null before the first
     * @param after the present map
     * @param complete true if no map between the two was missed
     */
    record PartitionMapChanged(PartitionMap before, PartitionMap after, boolean complete) implements ReplicaChange {}

    /** A machine has a decommission record, or another one. */
    record MachineDecommissioned(String name, DecommissionRecord after) implements ReplicaChange {}

    /** A job's result became known. */
    record JobEnded(String job, JobResult result) implements ReplicaChange {}

    /** A key has a value that cannot be read. */
    record ValueUnreadable(String key, String reason) implements ReplicaChange {}
}
