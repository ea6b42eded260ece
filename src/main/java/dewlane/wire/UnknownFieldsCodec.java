package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.schema.UnknownFields;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Reads and writes the fields of stored values that this version does not define; a rewrite preserves them. */
final class UnknownFieldsCodec {
    private UnknownFieldsCodec() {}

    static void write(JsonGenerator out, UnknownFields unknown) throws IOException {
        for (Map.Entry<String, Object> field : unknown.byName().entrySet()) {
            out.writeFieldName(field.getKey());
            Json.writeValue(out, field.getValue());
        }
    }

    /** Returns the fields of an object whose names are not among the given ones. */
    static UnknownFields read(Map<String, Object> fields, Set<String> defined) {
        Map<String, Object> unknown = null;
        for (Map.Entry<String, Object> field : fields.entrySet()) {
            if (!defined.contains(field.getKey())) {
                unknown = unknown == null ? new HashMap<>() : unknown;
                unknown.put(field.getKey(), field.getValue());
            }
        }
        return unknown == null ? UnknownFields.NONE : new UnknownFields(unknown);
    }
}
