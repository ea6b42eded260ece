package dewlane.core.controller;

import dewlane.core.message.ControllerContext;
import dewlane.core.message.ControllerCounters;
import dewlane.core.message.Counter;
import dewlane.core.schema.Partitioner;
import dewlane.core.schema.StoredValue.PartitionMap;
import dewlane.core.store.ReplicaChange;
import dewlane.core.store.UnreadableValueLog;

/** Counts and logs changes of the replica that are relevant to operators. */
final class ReplicaChangeLog {
    private final ControllerContext context;
    private final ControllerCounters counters;
    private final UnreadableValueLog unreadableValues;

    ReplicaChangeLog(ControllerContext context, ControllerCounters counters) {
        this.context = context;
        this.counters = counters;
        this.unreadableValues = new UnreadableValueLog(context, counters);
    }

    void onReplicaChange(ReplicaChange change) {
        if (change instanceof ReplicaChange.SliceChanged sliceChange && sliceChange.after() != null) {
            counters.add(Counter.ATTEMPTS_SEEN, sliceChange.after().attempts().size());
        } else if (change instanceof ReplicaChange.PartitionMapChanged mapChange) {
            logPartitionMap(mapChange.after());
        } else if (change instanceof ReplicaChange.ValueUnreadable unreadable) {
            unreadableValues.record(unreadable);
        }
    }

    private void logPartitionMap(PartitionMap map) {
        context.info("partition map " + map.epoch() + ": " + map.members() + ", leader " + Partitioner.leaderOf(map));
    }
}
