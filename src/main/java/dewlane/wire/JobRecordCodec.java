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

    static void write(JsonGenerator out, Job j) throws IOException {
        out.writeStringField("id", j.id());
        out.writeStringField("lot", j.lot());
        out.writeStringField("team", j.team());
        out.writeStringField("priority", StoredWords.word(j.priority()));
        out.writeNumberField("tasks", j.tasks());
        out.writeNumberField("cpus", j.cpus());
        out.writeNumberField("gpus", j.gpus());
        out.writeNumberField("memory", j.memoryGb());
        out.writeStringField("image", j.image());
        out.writeNumberField("imageGb", j.imageGb());
        out.writeArrayFieldStart("types");
        for (String t : j.types()) {
            out.writeString(t);
        }
        out.writeEndArray();
        if (j.zone() != null) {
            out.writeStringField("zone", j.zone());
        }
        out.writeBooleanField("oneZone", j.oneZone());
        out.writeBooleanField("spread", j.spread());
        out.writeBooleanField("spot", j.spot());
        out.writeNumberField("estimate", j.estimateS());
        out.writeNumberField("checkpoint", j.checkpointS());
        out.writeNumberField("save", j.saveS());
        out.writeNumberField("deadline", j.deadlineS());
        out.writeNumberField("accepted", j.acceptedMs());
        if (!j.awaits().isEmpty()) {
            out.writeStringField("awaits", JobIdListCodec.write(j.awaits()));
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
