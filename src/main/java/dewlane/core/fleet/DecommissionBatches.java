package dewlane.core.fleet;

import dewlane.core.message.Effect;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.DecommissionState;
import dewlane.core.schema.Transaction;
import java.util.ArrayList;
import java.util.List;

/** Splits machines to be decommissioned into batches that each fit into one stored record. */
public final class DecommissionBatches {
    /** The number of machines that the cloud deletes in one request. */
    public static final int MAX_MACHINES = Effect.DeleteInstances.MAX_INSTANCES;

    /** Space for the field names, state and reason of a record, with quotes and brackets. */
    private static final int RECORD_OVERHEAD_BYTES = 128;
    /** Two quotes and a comma. */
    private static final int NAME_OVERHEAD_BYTES = 3;

    private DecommissionBatches() {}

    /**
     * Returns the transaction that writes the record of one batch under a new key, on condition that the partition map
     * has the given revision. Under that map only the owner launches tasks on its machines; the condition also keeps a
     * disconnected controller from decommissioning machines that others have taken over and receive heartbeats from.
     */
    public static Transaction transaction(
            String key, long partitionMapRevision, DecommissionState state, String reason, List<String> batch) {
        return new Transaction.Builder()
                .require(key, 0)
                .require(StoreKeys.PARTITION_MAP, partitionMapRevision)
                .put(key, new DecommissionRecord(state, reason, batch))
                .build();
    }

    /** Splits names, in order, into as few batches as the size limit of a value and the limit on names allow. */
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
