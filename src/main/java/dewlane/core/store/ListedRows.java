package dewlane.core.store;

import dewlane.core.message.Input.StoreRow;
import java.util.ArrayList;
import java.util.List;

/**
 * The rows of the listing in progress, which are read page by page. Values that the replica holds are shared with it,
 * as two copies of all jobs might not fit into memory.
 */
final class ListedRows {
    private final StoreReplica replica;
    private List<StoreRow> rows = new ArrayList<>();
    /** False once a page could not be added, so that rows are missing. */
    private boolean complete = true;

    ListedRows(StoreReplica replica) {
        this.replica = replica;
    }

    /** Adds the rows of a page. */
    void add(List<StoreRow> page) {
        boolean completeBefore = complete;
        complete = false;
        for (StoreRow row : page) {
            rows.add(replica.withSharedValue(row));
        }
        complete = completeBefore;
    }

    /** Returns true if the rows of all pages were added. */
    boolean isComplete() {
        return complete;
    }

    /** Returns all rows, and removes them. */
    List<StoreRow> take() {
        List<StoreRow> taken = rows;
        clear();
        return taken;
    }

    /** Removes all rows, before a new listing. */
    void clear() {
        rows = new ArrayList<>();
        complete = true;
    }
}
