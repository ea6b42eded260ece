package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.Job;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The fields in which a job's record keeps what its user submitted. */
final class JobRecordCodec {
    /** All fields of a job's record, those included that tell how it was dealt and that it was cancelled. */
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
            "deals",
            "aborted");

    private JobRecordCodec() {}

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
        return new Job(
                Json.string(in, "id"),
                Json.string(in, "lot"),
                Json.string(in, "team"),
                StoredWords.priority(Json.string(in, "priority")),
                tasks.intValue(),
                Json.number(in, "cpus"),
                Json.number(in, "gpus"),
                Json.number(in, "memory"),
                Json.string(in, "image"),
                Json.number(in, "imageGb"),
                List.copyOf(Json.strings(in, "types")),
                Json.string(in, "zone"),
                Json.flag(in, "oneZone"),
                Json.flag(in, "spread"),
                Json.flag(in, "spot"),
                Json.number(in, "estimate"),
                Json.number(in, "checkpoint"),
                Json.number(in, "save"),
                Json.number(in, "deadline"),
                Json.whole(in, "accepted"),
                JobIdListCodec.read(Json.string(in, "awaits")));
    }
}
