package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.Attempt;
import dewlane.core.schema.StoredValue.Slice;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Encodes and decodes slices. The format is compact, since a slice is rewritten at each change and read by every
 * controller: the attempts of one launch on one machine share an entry, and what is common to a launch is written once.
 *
 * <p>A launch is an array of the attempt number, the launch time, the fencing token of its first machine, and then four
 * elements for each machine: name, worker incarnation, difference to the first machine's fencing token, and the tasks
 * as ranges of offsets in the slice.
 */
final class SliceCodec {
    private static final String OWNER = "owner";
    private static final String FIRST = "first";
    private static final String COUNT = "count";
    private static final String LAUNCH_COUNT = "launches";
    private static final String DONE = "done";
    private static final String ATTEMPTS = "live";
    private static final Set<String> FIELDS = Set.of(OWNER, FIRST, COUNT, LAUNCH_COUNT, DONE, ATTEMPTS);

    private static final int LAUNCH_HEADER_ELEMENTS = 3;
    private static final int PLACEMENT_ELEMENTS = 4;

    private SliceCodec() {}

    /** The fields that the attempts of one launch have in common. */
    private record Launch(int number, long atMs) {}

    /** The fields that the attempts of one launch on one machine have in common. */
    private record Placement(String machine, long incarnation, long fencingToken) {}

    static void write(JsonGenerator out, Slice slice) throws IOException {
        out.writeStringField(OWNER, slice.owner());
        out.writeNumberField(FIRST, slice.first());
        out.writeNumberField(COUNT, slice.count());
        out.writeNumberField(LAUNCH_COUNT, slice.launchCount());
        out.writeStringField(DONE, TaskRangeCodec.write(slice.done()));
        out.writeArrayFieldStart(ATTEMPTS);
        for (Map.Entry<Launch, Map<Placement, BitSet>> launch :
                groupByLaunch(slice).entrySet()) {
            writeLaunch(out, launch.getKey(), launch.getValue());
        }
        out.writeEndArray();
        UnknownFieldsCodec.write(out, slice.unknown());
    }

    private static Map<Launch, Map<Placement, BitSet>> groupByLaunch(Slice slice) {
        Map<Launch, Map<Placement, BitSet>> launches = new LinkedHashMap<>();
        for (Attempt attempt : slice.attempts()) {
            Launch launch = new Launch(attempt.number(), attempt.launchedAtMs());
            Placement placement = new Placement(attempt.machine(), attempt.incarnation(), attempt.fencingToken());
            launches.computeIfAbsent(launch, l -> new LinkedHashMap<>())
                    .computeIfAbsent(placement, p -> new BitSet())
                    .set(attempt.task() - slice.first());
        }
        return launches;
    }

    private static void writeLaunch(JsonGenerator out, Launch launch, Map<Placement, BitSet> placements)
            throws IOException {
        long firstToken = placements.keySet().iterator().next().fencingToken();
        out.writeStartArray();
        out.writeNumber(launch.number());
        out.writeNumber(launch.atMs());
        out.writeNumber(firstToken);
        for (Map.Entry<Placement, BitSet> entry : placements.entrySet()) {
            Placement placement = entry.getKey();
            out.writeString(placement.machine());
            out.writeNumber(placement.incarnation());
            out.writeNumber(placement.fencingToken() - firstToken);
            out.writeString(TaskRangeCodec.write(entry.getValue()));
        }
        out.writeEndArray();
    }

    /** Reads a slice; throws a runtime exception if the fields are malformed. */
    static Slice read(Map<String, Object> fields) {
        if (!(fields.get(FIRST) instanceof Long first) || !(fields.get(COUNT) instanceof Long count)) {
            throw new IllegalArgumentException("fields first and count: expected integers");
        }
        List<Attempt> attempts = new ArrayList<>();
        for (Object launch : Json.list(fields, ATTEMPTS)) {
            readLaunch((List<?>) launch, first.intValue(), attempts);
        }
        return new Slice(
                SharedNames.string(fields, OWNER),
                first.intValue(),
                count.intValue(),
                (int) Json.integer(fields, LAUNCH_COUNT),
                TaskRangeCodec.read(Json.string(fields, DONE)),
                List.copyOf(attempts),
                UnknownFieldsCodec.read(fields, FIELDS));
    }

    private static void readLaunch(List<?> launch, int first, List<Attempt> attempts) {
        int number = ((Number) launch.get(0)).intValue();
        long atMs = ((Number) launch.get(1)).longValue();
        long firstToken = ((Number) launch.get(2)).longValue();
        for (int i = LAUNCH_HEADER_ELEMENTS; i < launch.size(); i += PLACEMENT_ELEMENTS) {
            String machine = SharedNames.share((String) launch.get(i));
            long incarnation = ((Number) launch.get(i + 1)).longValue();
            long token = firstToken + ((Number) launch.get(i + 2)).longValue();
            BitSet offsets = TaskRangeCodec.read((String) launch.get(i + 3));
            offsets.stream()
                    .forEach(offset ->
                            attempts.add(new Attempt(first + offset, number, machine, incarnation, token, atMs)));
        }
    }
}
