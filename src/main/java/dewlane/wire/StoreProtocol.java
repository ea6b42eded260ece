package dewlane.wire;

import dewlane.core.message.Input.KeyChange;
import dewlane.core.message.Input.StoreRow;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The state service's protocol; {@link StoredValueCodec} has the form in which values are kept there. */
public final class StoreProtocol {
    public static final String TXN = "/txn";
    public static final String GRANTS = "/grants";

    private StoreProtocol() {}

    /**
     * A page of keys.
     *
     * @param last the last key of the page, also if this version does not know it; null if the page is empty
     */
    public record Page(List<StoreRow> rows, String last, boolean more, long revision) {}

    /** An answer of the watch. */
    public record Events(List<KeyChange> changes, long revision) {}

    /** The path that reads one key. */
    public static String get(String key) {
        return "/store/" + key;
    }

    /** The path that lists keys with the prefix, beginning after the given one. */
    public static String list(String prefix, String after, int limit) {
        return "/store?prefix=" + prefix + "&since=" + after + "&limit=" + limit;
    }

    /** The path that waits for changes after the revision. */
    public static String watch(String prefix, long since, long waitMs) {
        return "/watch?prefix=" + prefix + "&since=" + since + "&blockMs=" + waitMs;
    }

    /** The path that renews a lease. */
    public static String touch(long lease) {
        return GRANTS + "/" + lease + "/touch";
    }

    /** The body that asks for a lease. */
    public static byte[] grant(long ttlMs) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("ttlMs", ttlMs);
            out.writeEndObject();
        });
    }

    /** The lease that was granted. */
    public static long granted(byte[] body) throws IOException {
        return Json.whole(Json.object(body), "tenancy");
    }

    /** The revision that an answer names. */
    public static long revision(byte[] body) throws IOException {
        return Json.whole(Json.object(body), "ledger");
    }

    /** The value and version of a key that was read. */
    public static StoreRow row(String key, byte[] body) throws IOException {
        return row(key, Json.object(body));
    }

    private static StoreRow row(String key, Map<String, Object> in) {
        return new StoreRow(key, StoredValueCodec.decode(key, Json.object(in.get("value"))), Json.whole(in, "entry"));
    }

    /** Reads one page of a listing. */
    public static Page page(byte[] body) throws IOException {
        Map<String, Object> in = Json.object(body);
        List<StoreRow> rows = new ArrayList<>();
        String last = null;
        for (Object o : Json.list(in, "rows")) {
            Map<String, Object> row = Json.object(o);
            String key = Json.string(row, "key");
            last = key;
            if (StoreKeys.isKnown(key)) {
                rows.add(row(key, row));
            }
        }
        return new Page(rows, last, Json.flag(in, "more"), Json.whole(in, "ledger"));
    }

    /** Reads the changes that a watch returned. */
    public static Events events(byte[] body) throws IOException {
        Map<String, Object> in = Json.object(body);
        List<KeyChange> changes = new ArrayList<>();
        for (Object o : Json.list(in, "log")) {
            Map<String, Object> e = Json.object(o);
            String set = Json.string(e, "set");
            String key = set == null ? Json.string(e, "delete") : set;
            if (StoreKeys.isKnown(key)) {
                StoredValue value = set == null ? null : StoredValueCodec.decode(key, Json.object(e.get("value")));
                changes.add(new KeyChange(key, value, Json.whole(e, "entry")));
            }
        }
        return new Events(changes, Json.whole(in, "ledger"));
    }

    /** The body of a conditional transaction. */
    public static byte[] txn(Transaction transaction) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("when");
            for (Transaction.Precondition g : transaction.preconditions()) {
                out.writeStartObject();
                out.writeStringField("key", g.key());
                out.writeNumberField("entry", g.version());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("apply");
            for (Transaction.Write w : transaction.writes()) {
                out.writeStartObject();
                if (w.value() == null) {
                    out.writeStringField("delete", w.key());
                } else {
                    out.writeStringField("set", w.key());
                    out.writeFieldName("value");
                    StoredValueCodec.encode(out, w.value());
                    if (w.lease() != 0) {
                        out.writeNumberField("tenancy", w.lease());
                    }
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }
}
