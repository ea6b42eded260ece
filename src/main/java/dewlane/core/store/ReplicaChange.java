package dewlane.core.store;

import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.schema.StoredValue.Slice;

/** A change of the {@link StoreReplica}, which is reported after the replica has applied it. */
public sealed interface ReplicaChange {
    /**
     * A slice was created, changed or deleted.
     *
     * @param before the previous value, or null if the slice is new
     * @param after the new value, or null if the slice was deleted
     */
    record SliceChanged(JobEntry job, SliceEntry slice, Slice before, Slice after) implements ReplicaChange {}

    /**
     * A job's record was created, changed or deleted.
     *
     * @param before the previous record, or null if the job is new
     * @param after the new record, or null if it was deleted
     */
    record JobChanged(JobEntry job, JobRecord before, JobRecord after) implements ReplicaChange {}

    /**
     * The partition map was created or changed.
     *
     * @param before the previous map, or null if there was none
     * @param after the new map
     * @param complete true if the replica has seen every map; false if maps between the two may have been missed, as
     *     the new one comes from a listing
     */
    record PartitionMapChanged(PartitionMap before, PartitionMap after, boolean complete) implements ReplicaChange {}

    /** A machine's decommission record was created or changed. */
    record MachineDecommissioned(String name, DecommissionRecord after) implements ReplicaChange {}

    /** A job has ended, and its result was added to the replica. */
    record JobEnded(String job, JobResult result) implements ReplicaChange {}

    /** A key has a value that cannot be read. */
    record ValueUnreadable(String key, String reason) implements ReplicaChange {}
}
