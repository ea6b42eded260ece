package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.SliceAssignment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Encodes and decodes job records: the submitted job, its assignment to controllers, and when it was cancelled. */
final class JobRecordCodec {
    private static final String ASSIGNMENTS = "deals";
    private static final String CANCELLED_AT = "aborted";

    private static final Set<String> FIELDS = Stream.concat(
                    JobCodec.FIELDS.stream(), Stream.of(ASSIGNMENTS, CANCELLED_AT))
            .collect(Collectors.toUnmodifiableSet());

    private static final int ASSIGNMENT_ELEMENTS = 3;

    private JobRecordCodec() {}

    static void write(JsonGenerator out, JobRecord record) throws IOException {
        JobCodec.write(out, record.job());
        out.writeArrayFieldStart(ASSIGNMENTS);
        for (SliceAssignment assignment : record.assignments()) {
            out.writeString(assignment.owner());
            out.writeNumber(assignment.first());
            out.writeNumber(assignment.count());
        }
        out.writeEndArray();
        if (record.isCancelled()) {
            out.writeNumberField(CANCELLED_AT, record.cancelledAtMs());
        }
        UnknownFieldsCodec.write(out, record.unknown());
    }

    /** Reads a job record; throws a runtime exception if the fields are malformed. */
    static JobRecord read(Map<String, Object> fields) {
        return new JobRecord(
                JobCodec.read(fields),
                readAssignments(Json.list(fields, ASSIGNMENTS)),
                Json.integer(fields, CANCELLED_AT),
                UnknownFieldsCodec.read(fields, FIELDS));
    }

    private static List<SliceAssignment> readAssignments(List<Object> elements) {
        List<SliceAssignment> assignments = new ArrayList<>();
        for (int i = 0; i < elements.size(); i += ASSIGNMENT_ELEMENTS) {
            assignments.add(new SliceAssignment(
                    SharedNames.share((String) elements.get(i)),
                    ((Number) elements.get(i + 1)).intValue(),
                    ((Number) elements.get(i + 2)).intValue()));
        }
        return List.copyOf(assignments);
    }
}
