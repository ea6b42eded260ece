package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.Attempt;
import dewlane.core.schema.SchemaVersion;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.UnknownFields;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The form in which values are kept in the state service. Version 0.1 reads and writes the same form: it ignores fields
 * that it does not know and loses them when it rewrites a value, so a field that is new here is written only where it
 * has something to say. Fields that this version does not know are kept.
 */
public final class StoredValueCodec {
    private static final Set<String> SLICE_FIELDS = Set.of("owner", "first", "count", "launches", "done", "live");
    private static final Set<String> MAP_FIELDS = Set.of("epoch", "members", "moved", "loans", "formats");
    private static final Set<String> MACHINE_FIELDS = Set.of("fate", "reason", "names");

    private StoredValueCodec() {}

    /** A value as it is kept. */
    public static byte[] bytes(StoredValue value) {
        return Json.write(out -> encode(out, value));
    }

    static void encode(JsonGenerator out, StoredValue value) throws IOException {
        out.writeStartObject();
        if (value instanceof StoredValue.JobRecord v) {
            jobRecord(out, v);
        } else if (value instanceof StoredValue.JobResult v) {
            out.writeBooleanField("aborted", v.cancelled());
            out.writeNumberField("at", v.endedAtMs());
        } else if (value instanceof StoredValue.Slice v) {
            slice(out, v);
        } else if (value instanceof StoredValue.PartitionMap v) {
            clusterMap(out, v);
        } else if (value instanceof StoredValue.Presence v) {
            out.writeNumberField("incarnation", v.incarnation());
            out.writeNumberField("format", v.schemaVersion());
        } else if (value instanceof StoredValue.TeamUsageRecord v) {
            out.writeNumberField("cpus", v.cpus());
            out.writeNumberField("gpus", v.gpus());
        } else if (value instanceof StoredValue.DecommissionRecord v) {
            machineRecord(out, v);
        } else {
            throw new IllegalArgumentException("never written: " + value);
        }
        out.writeEndObject();
    }

    private static void jobRecord(JsonGenerator out, StoredValue.JobRecord record) throws IOException {
        JobRecordCodec.write(out, record.job());
        out.writeArrayFieldStart("deals");
        for (StoredValue.SliceAssignment deal : record.assignments()) {
            out.writeString(deal.owner());
            out.writeNumber(deal.first());
            out.writeNumber(deal.count());
        }
        out.writeEndArray();
        if (record.isCancelled()) {
            out.writeNumberField("aborted", record.cancelledAtMs());
        }
        unknownFields(out, record.unknown());
    }

    private static void clusterMap(JsonGenerator out, StoredValue.PartitionMap map) throws IOException {
        out.writeNumberField("epoch", map.epoch());
        out.writeObjectFieldStart("members");
        for (StoredValue.Member member : map.members()) {
            out.writeNumberField(member.name(), member.incarnation());
        }
        out.writeEndObject();
        out.writeObjectFieldStart("moved");
        for (Map.Entry<String, String> moved : map.reassignedMachines().entrySet()) {
            out.writeStringField(moved.getKey(), moved.getValue());
        }
        out.writeEndObject();
        if (!map.quotaTransfers().isEmpty()) {
            out.writeArrayFieldStart("loans");
            for (StoredValue.QuotaTransfer loan : map.quotaTransfers()) {
                out.writeString(loan.team());
                out.writeString(loan.controller());
                out.writeNumber(loan.cpus());
                out.writeNumber(loan.gpus());
            }
            out.writeEndArray();
        }
        if (!map.schemaVersions().isEmpty()) {
            out.writeObjectFieldStart("formats");
            for (Map.Entry<String, Integer> format : map.schemaVersions().entrySet()) {
                out.writeNumberField(format.getKey(), format.getValue());
            }
            out.writeEndObject();
        }
        unknownFields(out, map.unknown());
    }

    private static void machineRecord(JsonGenerator out, StoredValue.DecommissionRecord record) throws IOException {
        out.writeStringField("fate", StoredWords.word(record.state()));
        out.writeStringField("reason", record.reason());
        if (!record.machines().isEmpty()) {
            out.writeArrayFieldStart("names");
            for (String name : record.machines()) {
                out.writeString(name);
            }
            out.writeEndArray();
        }
        unknownFields(out, record.unknown());
    }

    private static void unknownFields(JsonGenerator out, UnknownFields unknown) throws IOException {
        for (Map.Entry<String, Object> field : unknown.byName().entrySet()) {
            out.writeFieldName(field.getKey());
            Json.writeValue(out, field.getValue());
        }
    }

    /** The fields of an object that are not among the known ones. */
    private static UnknownFields unknownFields(Map<String, Object> in, Set<String> known) {
        Map<String, Object> unknown = null;
        for (Map.Entry<String, Object> field : in.entrySet()) {
            if (!known.contains(field.getKey())) {
                unknown = unknown == null ? new HashMap<>() : unknown;
                unknown.put(field.getKey(), field.getValue());
            }
        }
        return unknown == null ? UnknownFields.NONE : new UnknownFields(unknown);
    }

    /**
     * Attempts of one launch on one machine are one entry, and what a launch's entries share is written once: the value
     * is written anew at each change and read by every controller.
     */
    private static void slice(JsonGenerator out, StoredValue.Slice slice) throws IOException {
        out.writeStringField("owner", slice.owner());
        out.writeNumberField("first", slice.first());
        out.writeNumberField("count", slice.count());
        out.writeNumberField("launches", slice.launchCount());
        out.writeStringField("done", TaskRangeCodec.write(slice.done()));
        Map<Launch, Map<Place, BitSet>> launches = new LinkedHashMap<>();
        for (Attempt attempt : slice.attempts()) {
            launches.computeIfAbsent(new Launch(attempt.number(), attempt.launchedAtMs()), l -> new LinkedHashMap<>())
                    .computeIfAbsent(
                            new Place(attempt.machine(), attempt.incarnation(), attempt.fencingToken()),
                            p -> new BitSet())
                    .set(attempt.task() - slice.first());
        }
        out.writeArrayFieldStart("live");
        for (Map.Entry<Launch, Map<Place, BitSet>> launch : launches.entrySet()) {
            long token = launch.getValue().keySet().iterator().next().token();
            out.writeStartArray();
            out.writeNumber(launch.getKey().number());
            out.writeNumber(launch.getKey().atMs());
            out.writeNumber(token);
            for (Map.Entry<Place, BitSet> place : launch.getValue().entrySet()) {
                out.writeString(place.getKey().machine());
                out.writeNumber(place.getKey().session());
                out.writeNumber(place.getKey().token() - token);
                out.writeString(TaskRangeCodec.write(place.getValue()));
            }
            out.writeEndArray();
        }
        out.writeEndArray();
        unknownFields(out, slice.unknown());
    }

    /** What attempts of one launch share. */
    private record Launch(int number, long atMs) {}

    /** What attempts of one launch on one machine share. */
    private record Place(String machine, long session, long token) {}

    /** The value of a key, or {@link StoredValue.Unreadable} if this version cannot make sense of it. */
    static StoredValue decode(String key, Map<String, Object> in) {
        try {
            if (key.startsWith(StoreKeys.SLICES)) {
                return slice(in);
            } else if (key.startsWith(StoreKeys.JOBS)) {
                return new StoredValue.JobRecord(
                        JobRecordCodec.read(in),
                        deals(Json.list(in, "deals")),
                        Json.whole(in, "aborted"),
                        unknownFields(in, JobRecordCodec.FIELDS));
            } else if (key.startsWith(StoreKeys.JOB_RESULTS)) {
                return finalRecord(in);
            } else if (key.startsWith(StoreKeys.DECOMMISSIONS)) {
                return new StoredValue.DecommissionRecord(
                        StoredWords.machineFate(Json.string(in, "fate")),
                        Json.string(in, "reason"),
                        List.copyOf(Json.strings(in, "names")),
                        unknownFields(in, MACHINE_FIELDS));
            } else if (key.startsWith(StoreKeys.PRESENCES)) {
                long format = Json.whole(in, "format");
                return new StoredValue.Presence(
                        Json.whole(in, "incarnation"), format == 0 ? SchemaVersion.FIRST : (int) format);
            } else if (key.startsWith(StoreKeys.TEAM_USAGES)) {
                return new StoredValue.TeamUsageRecord(Json.number(in, "cpus"), Json.number(in, "gpus"));
            }
            return clusterMap(in);
        } catch (IllegalArgumentException | NullPointerException | ClassCastException | IndexOutOfBoundsException e) {
            return new StoredValue.Unreadable(String.valueOf(e.getMessage()));
        }
    }

    private static StoredValue.JobResult finalRecord(Map<String, Object> in) {
        if (!(in.get("aborted") instanceof Boolean aborted)) {
            throw new IllegalArgumentException("aborted is missing");
        }
        return new StoredValue.JobResult(aborted, Json.whole(in, "at"));
    }

    private static StoredValue.PartitionMap clusterMap(Map<String, Object> in) {
        if (!(in.get("epoch") instanceof Long epoch) || !(in.get("members") instanceof Map<?, ?>)) {
            throw new IllegalArgumentException("epoch or members are missing");
        }
        List<StoredValue.Member> members = new ArrayList<>();
        Json.object(in.get("members"))
                .forEach((name, incarnation) ->
                        members.add(new StoredValue.Member(name, ((Number) incarnation).longValue())));
        members.sort((a, b) -> a.name().compareTo(b.name()));
        Map<String, String> moved = new HashMap<>();
        Json.object(in.get("moved")).forEach((machine, taker) -> moved.put(machine, (String) taker));
        Map<String, Integer> formats = new HashMap<>();
        Json.object(in.get("formats")).forEach((node, format) -> formats.put(node, ((Number) format).intValue()));
        return new StoredValue.PartitionMap(
                epoch,
                List.copyOf(members),
                Map.copyOf(moved),
                loans(Json.list(in, "loans")),
                Map.copyOf(formats),
                unknownFields(in, MAP_FIELDS));
    }

    private static List<StoredValue.SliceAssignment> deals(List<Object> in) {
        List<StoredValue.SliceAssignment> deals = new ArrayList<>();
        for (int i = 0; i < in.size(); i += 3) {
            deals.add(new StoredValue.SliceAssignment(
                    (String) in.get(i), ((Number) in.get(i + 1)).intValue(), ((Number) in.get(i + 2)).intValue()));
        }
        return List.copyOf(deals);
    }

    private static List<StoredValue.QuotaTransfer> loans(List<?> in) {
        List<StoredValue.QuotaTransfer> loans = new ArrayList<>();
        for (int i = 0; i < in.size(); i += 4) {
            loans.add(new StoredValue.QuotaTransfer(
                    (String) in.get(i),
                    (String) in.get(i + 1),
                    ((Number) in.get(i + 2)).doubleValue(),
                    ((Number) in.get(i + 3)).doubleValue()));
        }
        return List.copyOf(loans);
    }

    private static StoredValue.Slice slice(Map<String, Object> in) {
        if (!(in.get("first") instanceof Long from) || !(in.get("count") instanceof Long count)) {
            throw new IllegalArgumentException("first or count is missing");
        }
        int first = from.intValue();
        List<Attempt> attempts = new ArrayList<>();
        for (Object o : Json.list(in, "live")) {
            List<?> launch = (List<?>) o;
            int number = ((Number) launch.get(0)).intValue();
            long at = ((Number) launch.get(1)).longValue();
            long token = ((Number) launch.get(2)).longValue();
            for (int i = 3; i < launch.size(); i += 4) {
                String machine = (String) launch.get(i);
                long session = ((Number) launch.get(i + 1)).longValue();
                long own = token + ((Number) launch.get(i + 2)).longValue();
                BitSet tasks = TaskRangeCodec.read((String) launch.get(i + 3));
                tasks.stream().forEach(t -> attempts.add(new Attempt(first + t, number, machine, session, own, at)));
            }
        }
        return new StoredValue.Slice(
                Json.string(in, "owner"),
                first,
                count.intValue(),
                (int) Json.whole(in, "launches"),
                TaskRangeCodec.read(Json.string(in, "done")),
                List.copyOf(attempts),
                unknownFields(in, SLICE_FIELDS));
    }
}
