package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.message.Input.KeyChange;
import dewlane.core.message.Input.StoreRow;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The protocol of the store. {@link StoredValueCodec} encodes and decodes the values in its messages. */
public final class StoreProtocol {
    /** The path of transactions. */
    public static final String TRANSACTION_PATH = "/txn";
    /** The path that grants leases. */
    public static final String LEASES_PATH = "/grants";

    private static final String REVISION = "ledger";
    private static final String KEY_REVISION = "entry";
    private static final String LEASE = "tenancy";
    private static final String TTL_MS = "ttlMs";
    private static final String KEY = "key";
    private static final String VALUE = "value";
    private static final String ROWS = "rows";
    private static final String MORE = "more";
    private static final String EVENTS = "log";
    private static final String PRECONDITIONS = "when";
    private static final String WRITES = "apply";
    private static final String PUT = "set";
    private static final String DELETE = "delete";

    private StoreProtocol() {}

    /**
     * A page of a listing.
     *
     * @param lastKey the last key of the page, even if only a newer version uses it; null if the page is empty
     * @param more true if another page follows, with greater keys
     * @param revision the store's revision when the page was read
     */
    public record Page(List<StoreRow> rows, String lastKey, boolean more, long revision) {}

    /** The changes up to the revision that a watch returned, without those of keys that only a newer version uses. */
    public record Events(List<KeyChange> changes, long revision) {}

    /** Returns the path that reads one key. */
    public static String valuePath(String key) {
        return "/store/" + key;
    }

    /** Returns the path that lists the keys with the prefix that follow the given key. */
    public static String listPath(String prefix, String after, int limit) {
        return "/store?prefix=" + prefix + "&since=" + after + "&limit=" + limit;
    }

    /** Returns the path that waits for changes after the revision. */
    public static String watchPath(String prefix, long afterRevision, long waitMs) {
        return "/watch?prefix=" + prefix + "&since=" + afterRevision + "&blockMs=" + waitMs;
    }

    /** Returns the path that renews a lease. */
    public static String renewalPath(long lease) {
        return LEASES_PATH + "/" + lease + "/touch";
    }

    /** Returns the body of a request for a lease. */
    public static byte[] grantRequest(long ttlMs) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField(TTL_MS, ttlMs);
            out.writeEndObject();
        });
    }

    /**
     * Parses the id of the lease that was granted.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static long parseGrantedLease(byte[] body) throws IOException {
        return Json.integer(Json.parse(body), LEASE);
    }

    /**
     * Parses the store's revision in an answer.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static long parseRevision(byte[] body) throws IOException {
        return Json.integer(Json.parse(body), REVISION);
    }

    /**
     * Parses the value and revision of a key.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static StoreRow parseRow(String key, byte[] body) throws IOException {
        return row(key, Json.parse(body));
    }

    private static StoreRow row(String key, Map<String, Object> fields) {
        return new StoreRow(key, value(key, fields), Json.integer(fields, KEY_REVISION));
    }

    private static StoredValue value(String key, Map<String, Object> fields) {
        return StoredValueCodec.decode(key, Json.asObject(fields.get(VALUE)));
    }

    /**
     * Parses one page of a listing.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static Page parsePage(byte[] body) throws IOException {
        PageRows page = new PageRows();
        Map<String, Object> fields = Json.parse(body, ROWS, page::add);
        return new Page(page.rows, page.lastKey, Json.bool(fields, MORE), Json.integer(fields, REVISION));
    }

    /** The rows of a page that have been parsed. */
    private static final class PageRows {
        final List<StoreRow> rows = new ArrayList<>();
        String lastKey;

        void add(Map<String, Object> row) {
            lastKey = Json.string(row, KEY);
            if (StoreKeys.isKnown(lastKey)) {
                rows.add(row(lastKey, row));
            }
        }
    }

    /**
     * Parses the changes that a watch returned.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static Events parseEvents(byte[] body) throws IOException {
        List<KeyChange> changes = new ArrayList<>();
        Map<String, Object> fields = Json.parse(body, EVENTS, event -> addChange(event, changes));
        return new Events(changes, Json.integer(fields, REVISION));
    }

    private static void addChange(Map<String, Object> event, List<KeyChange> changes) {
        String putKey = Json.string(event, PUT);
        String key = putKey == null ? Json.string(event, DELETE) : putKey;
        if (StoreKeys.isKnown(key)) {
            StoredValue value = putKey == null ? null : value(key, event);
            changes.add(new KeyChange(key, value, Json.integer(event, KEY_REVISION)));
        }
    }

    /** Returns the body of a transaction. */
    public static byte[] transactionRequest(Transaction transaction) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart(PRECONDITIONS);
            for (Transaction.Precondition precondition : transaction.preconditions()) {
                write(out, precondition);
            }
            out.writeEndArray();
            out.writeArrayFieldStart(WRITES);
            for (Transaction.Write write : transaction.writes()) {
                write(out, write);
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    private static void write(JsonGenerator out, Transaction.Precondition precondition) throws IOException {
        out.writeStartObject();
        out.writeStringField(KEY, precondition.key());
        out.writeNumberField(KEY_REVISION, precondition.version());
        out.writeEndObject();
    }

    private static void write(JsonGenerator out, Transaction.Write write) throws IOException {
        out.writeStartObject();
        if (write.value() == null) {
            out.writeStringField(DELETE, write.key());
        } else {
            out.writeStringField(PUT, write.key());
            out.writeFieldName(VALUE);
            StoredValueCodec.encode(out, write.value());
            if (write.hasLease()) {
                out.writeNumberField(LEASE, write.lease());
            }
        }
        out.writeEndObject();
    }
}
