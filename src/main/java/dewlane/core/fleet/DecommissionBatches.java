package dewlane.core.fleet;

import dewlane.core.message.Effect;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.List;

/** Splits machines to be decommissioned into batches, each of which one record in the store can name. */
public final class DecommissionBatches {
    /** As many as the cloud deletes by one request. */
    public static final int MAX_MACHINES = Effect.DeleteInstances.MAX_INSTANCES;

    /** The names of a record's fields, its state and its reason, with quotes and brackets. */
    private static final int RECORD_OVERHEAD_BYTES = 128;
    /** Quotes and a comma. */
    private static final int NAME_OVERHEAD_BYTES = 3;

    private DecommissionBatches() {}

    /**
     * Writes the record of one batch under a key of its own, on condition of the partition map: under that nobody but
     * the owner launches on its machines, and a controller that was cut off must not decommission machines that others
     * have taken over and hear.
     */
    public static Transaction transaction(
            String key, long partitionMapRevision, DecommissionState state, String reason, List<String> batch) {
        return new Transaction.Builder()
                .require(key, 0)
                .require(StoreKeys.PARTITION_MAP, partitionMapRevision)
                .put(key, new DecommissionRecord(state, reason, batch))
                .build();
    }

    /** Splits names, in order, into as few batches as the size of a value and the number of names allow. */
    public static List<List<String>> split(List<String> names, int valueBytes) {
        List<List<String>> batches = new ArrayList<>();
        List<String> batch = new ArrayList<>();
        int batchBytes = RECORD_OVERHEAD_BYTES;
        for (String name : names) {
            int nameBytes = name.length() + NAME_OVERHEAD_BYTES;
            boolean full = batchBytes + nameBytes > valueBytes || batch.size() == MAX_MACHINES;
            if (full && !batch.isEmpty()) {
                batches.add(List.copyOf(batch));
                batch.clear();
                batchBytes = RECORD_OVERHEAD_BYTES;
            }
            batch.add(name);
            batchBytes += nameBytes;
        }
        if (!batch.isEmpty()) {
            batches.add(List.copyOf(batch));
        }
        return batches;
    }
}
