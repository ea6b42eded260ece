package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.ContainerImage;
import dewlane.core.model.Job;
import dewlane.core.model.JobOwnership;
import dewlane.core.model.JobTiming;
import dewlane.core.model.PlacementConstraints;
import dewlane.core.model.Resources;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.SliceAssignment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The stored form of a job's record: what its user submitted, how it was assigned, and when it was cancelled. */
final class JobRecordCodec {
    private static final String ASSIGNMENTS = "deals";
    private static final String CANCELLED_AT = "aborted";

    /** All fields of a job's record. */
    static final Set<String> FIELDS = Set.of(
            "id",
            "lot",
            "team",
            "priority",
            "tasks",
            "cpus",
            "gpus",
            "memory",
            "image",
            "imageGb",
            "types",
            "zone",
            "oneZone",
            "spread",
            "spot",
            "estimate",
            "checkpoint",
            "save",
            "deadline",
            "accepted",
            "awaits",
            ASSIGNMENTS,
            CANCELLED_AT);

    private static final int ASSIGNMENT_ELEMENTS = 3;

    private JobRecordCodec() {}

    static void write(JsonGenerator out, JobRecord record) throws IOException {
        write(out, record.job());
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

    /** Reads a job's record; throws a runtime exception if the fields are not those of one. */
    static JobRecord readRecord(Map<String, Object> fields) {
        return new JobRecord(
                read(fields),
                readAssignments(Json.list(fields, ASSIGNMENTS)),
                Json.integer(fields, CANCELLED_AT),
                UnknownFieldsCodec.read(fields, FIELDS));
    }

    private static List<SliceAssignment> readAssignments(List<Object> elements) {
        List<SliceAssignment> assignments = new ArrayList<>();
        for (int i = 0; i < elements.size(); i += ASSIGNMENT_ELEMENTS) {
            assignments.add(new SliceAssignment(
                    (String) elements.get(i),
                    ((Number) elements.get(i + 1)).intValue(),
                    ((Number) elements.get(i + 2)).intValue()));
        }
        return List.copyOf(assignments);
    }

    static void write(JsonGenerator out, Job job) throws IOException {
        out.writeStringField("id", job.id());
        out.writeStringField("lot", job.jobClass());
        out.writeStringField("team", job.team());
        out.writeStringField("priority", StoredWords.word(job.priority()));
        out.writeNumberField("tasks", job.tasks());
        out.writeNumberField("cpus", job.cpus());
        out.writeNumberField("gpus", job.gpus());
        out.writeNumberField("memory", job.memoryGb());
        out.writeStringField("image", job.image());
        out.writeNumberField("imageGb", job.imageGb());
        out.writeArrayFieldStart("types");
        for (String t : job.types()) {
            out.writeString(t);
        }
        out.writeEndArray();
        if (job.zone() != null) {
            out.writeStringField("zone", job.zone());
        }
        out.writeBooleanField("oneZone", job.sameZone());
        out.writeBooleanField("spread", job.spreadZones());
        out.writeBooleanField("spot", job.spotAllowed());
        out.writeNumberField("estimate", job.expectedRunS());
        out.writeNumberField("checkpoint", job.checkpointIntervalS());
        out.writeNumberField("save", job.checkpointDurationS());
        out.writeNumberField("deadline", job.deadlineS());
        out.writeNumberField("accepted", job.acceptedAtMs());
        if (!job.dependencies().isEmpty()) {
            out.writeStringField("awaits", JobIdListCodec.write(job.dependencies()));
        }
    }

    static Job read(Map<String, Object> in) {
        if (!(in.get("tasks") instanceof Long tasks)) {
            throw new IllegalArgumentException("tasks is missing");
        }
        if (in.get("awaits") != null && !(in.get("awaits") instanceof String)) {
            throw new IllegalArgumentException("awaits is not a list of job ids");
        }
        return Job.builder(Json.string(in, "id"))
                .ownership(readOwnership(in))
                .tasks(tasks.intValue())
                .resources(new Resources(Json.number(in, "cpus"), Json.number(in, "gpus"), Json.number(in, "memory")))
                .image(new ContainerImage(Json.string(in, "image"), Json.number(in, "imageGb")))
                .placement(readPlacement(in))
                .timing(readTiming(in))
                .acceptedAtMs(Json.integer(in, "accepted"))
                .dependencies(JobIdListCodec.read(Json.string(in, "awaits")))
                .build();
    }

    private static JobOwnership readOwnership(Map<String, Object> in) {
        String jobClass = Json.string(in, "lot");
        String team = Json.string(in, "team");
        return new JobOwnership(team, jobClass, StoredWords.priority(Json.string(in, "priority")));
    }

    private static PlacementConstraints readPlacement(Map<String, Object> in) {
        return new PlacementConstraints(
                Json.strings(in, "types"),
                Json.string(in, "zone"),
                Json.bool(in, "oneZone"),
                Json.bool(in, "spread"),
                Json.bool(in, "spot"));
    }

    private static JobTiming readTiming(Map<String, Object> in) {
        return new JobTiming(
                Json.number(in, "estimate"),
                Json.number(in, "checkpoint"),
                Json.number(in, "save"),
                Json.number(in, "deadline"));
    }
}
