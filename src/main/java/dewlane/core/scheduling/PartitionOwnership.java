package dewlane.core.scheduling;

import dewlane.core.config.Settings;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.store.SliceEntry;
import dewlane.core.store.StoreReplica;

/** Determines which jobs and slices this controller owns according to the partition map in the replica. */
public final class PartitionOwnership {
    private final StoreReplica replica;
    private final String self;

    /** Creates the ownership check for the controller named in the settings. */
    public PartitionOwnership(Settings settings, StoreReplica replica) {
        this.replica = replica;
        this.self = settings.controllerName();
    }

    /** Returns true if this controller, and no other, may launch tasks of the slice, given the slice's new value. */
    boolean ownsSlice(SliceEntry slice, Slice value) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), slice.key(), value));
    }

    /** Returns true if the job's key is in this controller's partition. */
    boolean ownsJob(String id) {
        return self.equals(Partitioner.ownerOf(replica.partitionMap(), StoreKeys.job(id)));
    }
}
