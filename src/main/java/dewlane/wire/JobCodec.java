package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.ContainerImage;
import dewlane.core.model.Job;
import dewlane.core.model.JobOwnership;
import dewlane.core.model.JobTiming;
import dewlane.core.model.PlacementConstraints;
import dewlane.core.model.Resources;
import java.io.IOException;
import java.util.Map;
import java.util.Set;

/** Encodes and decodes the fields of a job record that hold the submitted job. */
final class JobCodec {
    private static final String ID = "id";
    private static final String JOB_CLASS = "lot";
    private static final String TEAM = "team";
    private static final String PRIORITY = "priority";
    private static final String TASKS = "tasks";
    private static final String CPUS = "cpus";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "memory";
    private static final String IMAGE = "image";
    private static final String IMAGE_GB = "imageGb";
    private static final String MACHINE_TYPES = "types";
    private static final String ZONE = "zone";
    private static final String SAME_ZONE = "oneZone";
    private static final String SPREAD_ZONES = "spread";
    private static final String SPOT_ALLOWED = "spot";
    private static final String EXPECTED_RUN_S = "estimate";
    private static final String CHECKPOINT_INTERVAL_S = "checkpoint";
    private static final String CHECKPOINT_DURATION_S = "save";
    private static final String DEADLINE_S = "deadline";
    private static final String ACCEPTED_AT_MS = "accepted";
    private static final String DEPENDENCIES = "awaits";

    /** The names of these fields. */
    static final Set<String> FIELDS = Set.of(
            ID,
            JOB_CLASS,
            TEAM,
            PRIORITY,
            TASKS,
            CPUS,
            GPUS,
            MEMORY_GB,
            IMAGE,
            IMAGE_GB,
            MACHINE_TYPES,
            ZONE,
            SAME_ZONE,
            SPREAD_ZONES,
            SPOT_ALLOWED,
            EXPECTED_RUN_S,
            CHECKPOINT_INTERVAL_S,
            CHECKPOINT_DURATION_S,
            DEADLINE_S,
            ACCEPTED_AT_MS,
            DEPENDENCIES);

    private JobCodec() {}

    static void write(JsonGenerator out, Job job) throws IOException {
        out.writeStringField(ID, job.id());
        out.writeStringField(JOB_CLASS, job.jobClass());
        out.writeStringField(TEAM, job.team());
        out.writeStringField(PRIORITY, StoredEnumCodec.encode(job.priority()));
        out.writeNumberField(TASKS, job.tasks());
        out.writeNumberField(CPUS, job.cpus());
        out.writeNumberField(GPUS, job.gpus());
        out.writeNumberField(MEMORY_GB, job.memoryGb());
        out.writeStringField(IMAGE, job.image());
        out.writeNumberField(IMAGE_GB, job.imageGb());
        Json.writeStrings(out, MACHINE_TYPES, job.types());
        if (job.zone() != null) {
            out.writeStringField(ZONE, job.zone());
        }
        out.writeBooleanField(SAME_ZONE, job.sameZone());
        out.writeBooleanField(SPREAD_ZONES, job.spreadZones());
        out.writeBooleanField(SPOT_ALLOWED, job.spotAllowed());
        out.writeNumberField(EXPECTED_RUN_S, job.expectedRunS());
        out.writeNumberField(CHECKPOINT_INTERVAL_S, job.checkpointIntervalS());
        out.writeNumberField(CHECKPOINT_DURATION_S, job.checkpointDurationS());
        out.writeNumberField(DEADLINE_S, job.deadlineS());
        out.writeNumberField(ACCEPTED_AT_MS, job.acceptedAtMs());
        if (!job.dependencies().isEmpty()) {
            out.writeStringField(DEPENDENCIES, JobIdListCodec.write(job.dependencies()));
        }
    }

    /** Reads a job; throws a runtime exception if the fields are malformed. */
    static Job read(Map<String, Object> fields) {
        if (!(fields.get(TASKS) instanceof Long tasks)) {
            throw new IllegalArgumentException("field tasks: expected an integer");
        }
        if (fields.get(DEPENDENCIES) != null && !(fields.get(DEPENDENCIES) instanceof String)) {
            throw new IllegalArgumentException("field awaits: expected a string");
        }
        return Job.builder(Json.string(fields, ID))
                .ownership(readOwnership(fields))
                .tasks(tasks.intValue())
                .resources(new Resources(
                        Json.number(fields, CPUS), Json.number(fields, GPUS), Json.number(fields, MEMORY_GB)))
                .image(new ContainerImage(SharedNames.string(fields, IMAGE), Json.number(fields, IMAGE_GB)))
                .placement(readPlacement(fields))
                .timing(readTiming(fields))
                .acceptedAtMs(Json.integer(fields, ACCEPTED_AT_MS))
                .dependencies(JobIdListCodec.read(Json.string(fields, DEPENDENCIES)))
                .build();
    }

    private static JobOwnership readOwnership(Map<String, Object> fields) {
        String jobClass = SharedNames.string(fields, JOB_CLASS);
        String team = SharedNames.string(fields, TEAM);
        return new JobOwnership(team, jobClass, StoredEnumCodec.decodePriority(Json.string(fields, PRIORITY)));
    }

    private static PlacementConstraints readPlacement(Map<String, Object> fields) {
        return new PlacementConstraints(
                SharedNames.strings(fields, MACHINE_TYPES),
                SharedNames.string(fields, ZONE),
                Json.bool(fields, SAME_ZONE),
                Json.bool(fields, SPREAD_ZONES),
                Json.bool(fields, SPOT_ALLOWED));
    }

    private static JobTiming readTiming(Map<String, Object> fields) {
        return new JobTiming(
                Json.number(fields, EXPECTED_RUN_S),
                Json.number(fields, CHECKPOINT_INTERVAL_S),
                Json.number(fields, CHECKPOINT_DURATION_S),
                Json.number(fields, DEADLINE_S));
    }
}
