package dewlane.core.fleet;

import java.util.ArrayList;
import java.util.List;

/** How many machines a record in the state service names. */
public final class DecommissionBatches {
    /** As many as the cloud deletes by one request. */
    public static final int MAX_MACHINES = 100;
    /** The names of a record's fields, its fate and its reason, with quotes and brackets. */
    private static final int FRAME_BYTES = 128;
    /** Quotes and a comma. */
    private static final int FRAME_OF_NAME = 3;

    private DecommissionBatches() {}

    /** Divides names into as few records as their size and number allow, in order. */
    public static List<List<String>> split(List<String> names, int valueBytes) {
        List<List<String>> records = new ArrayList<>();
        List<String> record = new ArrayList<>();
        int bytes = FRAME_BYTES;
        for (String name : names) {
            int more = name.length() + FRAME_OF_NAME;
            if (!record.isEmpty() && (bytes + more > valueBytes || record.size() == MAX_MACHINES)) {
                records.add(List.copyOf(record));
                record.clear();
                bytes = FRAME_BYTES;
            }
            record.add(name);
            bytes += more;
        }
        if (!record.isEmpty()) {
            records.add(List.copyOf(record));
        }
        return records;
    }
}
