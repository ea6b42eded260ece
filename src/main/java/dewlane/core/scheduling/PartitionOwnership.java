package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;

/** Which jobs and slices this controller owns under the partition map of the replica. */
public final class PartitionOwnership {
    private final StoreReplica replica;
    private final String self;

    /** Ownership of the controller that the settings name. */
    public PartitionOwnership(Settings settings, StoreReplica replica) {
        this.replica = replica;
        this.self = settings.controllerName();
    }

    /** True if this controller alone may launch tasks of the slice, given the value that the slice is to have. */
    boolean ownsSlice(SliceEntry slice, Slice value) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), slice.key(), value));
    }

    /** True if the job's key is in this controller's partition. */
    boolean ownsJob(String id) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(id)));
    }
}
