package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.DecommissionRecord;
import dewlane.core.schema.StoredValue.JobResult;
import dewlane.core.schema.StoredValue.Presence;
import dewlane.core.schema.StoredValue.TeamUsageRecord;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Encodes and decodes the values in the store. Version 0.1 reads and writes the same format, but it ignores unknown
 * fields and drops them when it rewrites a value. This version therefore omits a field that it adds to the format if
 * the field has its default value; only the schema version of a presence is always written. This version preserves
 * unknown fields.
 */
public final class StoredValueCodec {
    private static final String CANCELLED = "aborted";
    private static final String ENDED_AT = "at";
    private static final String INCARNATION = "incarnation";
    private static final String SCHEMA_VERSION = "format";
    private static final String CPUS = "cpus";
    private static final String GPUS = "gpus";
    private static final String DECOMMISSION_STATE = "fate";
    private static final String REASON = "reason";
    private static final String MACHINES = "names";
    private static final Set<String> DECOMMISSION_FIELDS = Set.of(DECOMMISSION_STATE, REASON, MACHINES);

    private StoredValueCodec() {}

    /** Encodes a value. */
    public static byte[] encode(StoredValue value) {
        return Json.write(out -> encode(out, value));
    }

    static void encode(JsonGenerator out, StoredValue value) throws IOException {
        out.writeStartObject();
        if (value instanceof StoredValue.JobRecord record) {
            JobRecordCodec.write(out, record);
        } else if (value instanceof JobResult result) {
            out.writeBooleanField(CANCELLED, result.cancelled());
            out.writeNumberField(ENDED_AT, result.endedAtMs());
        } else if (value instanceof StoredValue.Slice slice) {
            SliceCodec.write(out, slice);
        } else if (value instanceof StoredValue.PartitionMap map) {
            PartitionMapCodec.write(out, map);
        } else if (value instanceof Presence presence) {
            out.writeNumberField(INCARNATION, presence.incarnation());
            out.writeNumberField(SCHEMA_VERSION, presence.schemaVersion());
        } else if (value instanceof TeamUsageRecord usage) {
            out.writeNumberField(CPUS, usage.cpus());
            out.writeNumberField(GPUS, usage.gpus());
        } else if (value instanceof DecommissionRecord record) {
            write(out, record);
        } else {
            throw new IllegalArgumentException("cannot encode a value of this type: " + value);
        }
        out.writeEndObject();
    }

    private static void write(JsonGenerator out, DecommissionRecord record) throws IOException {
        out.writeStringField(DECOMMISSION_STATE, StoredEnumCodec.encode(record.state()));
        out.writeStringField(REASON, record.reason());
        if (!record.machines().isEmpty()) {
            Json.writeStrings(out, MACHINES, record.machines());
        }
        UnknownFieldsCodec.write(out, record.unknown());
    }

    /** Decodes the value of a key; returns {@link StoredValue.Unreadable} if the fields are not valid for the key. */
    static StoredValue decode(String key, Map<String, Object> fields) {
        try {
            return decodeReadable(key, fields);
        } catch (IllegalArgumentException | NullPointerException | ClassCastException | IndexOutOfBoundsException e) {
            return new StoredValue.Unreadable(String.valueOf(e.getMessage()));
        }
    }

    private static StoredValue decodeReadable(String key, Map<String, Object> fields) {
        if (key.startsWith(StoreKeys.SLICES)) {
            return SliceCodec.read(fields);
        } else if (key.startsWith(StoreKeys.JOBS)) {
            return JobRecordCodec.read(fields);
        } else if (key.startsWith(StoreKeys.JOB_RESULTS)) {
            return jobResult(fields);
        } else if (key.startsWith(StoreKeys.DECOMMISSIONS)) {
            return decommission(fields);
        } else if (key.startsWith(StoreKeys.PRESENCES)) {
            return presence(fields);
        } else if (key.startsWith(StoreKeys.TEAM_USAGES)) {
            return new TeamUsageRecord(Json.number(fields, CPUS), Json.number(fields, GPUS));
        }
        return PartitionMapCodec.read(fields);
    }

    private static JobResult jobResult(Map<String, Object> fields) {
        if (!(fields.get(CANCELLED) instanceof Boolean cancelled)) {
            throw new IllegalArgumentException("field aborted: expected true or false");
        }
        return new JobResult(cancelled, Json.integer(fields, ENDED_AT));
    }

    private static DecommissionRecord decommission(Map<String, Object> fields) {
        return new DecommissionRecord(
                StoredEnumCodec.decodeDecommissionState(Json.string(fields, DECOMMISSION_STATE)),
                Json.string(fields, REASON),
                List.copyOf(Json.strings(fields, MACHINES)),
                UnknownFieldsCodec.read(fields, DECOMMISSION_FIELDS));
    }

    private static Presence presence(Map<String, Object> fields) {
        long version = Json.integer(fields, SCHEMA_VERSION);
        return new Presence(Json.integer(fields, INCARNATION), version == 0 ? SchemaVersion.FIRST : (int) version);
    }
}
