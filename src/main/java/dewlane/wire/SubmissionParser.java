package dewlane.wire;

import dewlane.core.model.ContainerImage;
import dewlane.core.model.Job;
import dewlane.core.model.JobOwnership;
import dewlane.core.model.JobTiming;
import dewlane.core.model.PlacementConstraints;
import dewlane.core.model.Priority;
import dewlane.core.model.Resources;
import dewlane.wire.UserProtocol.Submission;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses the body of a submission. Fields are read in a fixed order, since the error that the user receives is about
 * the first malformed one.
 */
final class SubmissionParser {
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;

    private static final String STYLE = "style";
    private static final String JOB_ARRAY = "batch";
    private static final String PRIORITY = "rank";
    private static final String TASKS = "bottles";
    private static final String MACHINE_TYPES = "racks";
    private static final String ZONE = "cellar";
    private static final String DEPENDENCIES = "awaits";
    private static final String DEADLINE_S = "shipByS";
    private static final String JOB_CLASS = "lot";
    private static final String TEAM = "house";
    private static final String CPUS = "vcpus";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "ramGb";
    private static final String IMAGE = "blend";
    private static final String IMAGE_GB = "pullGb";
    private static final String SAME_ZONE = "samePlace";
    private static final String SPREAD_ZONES = "scatter";
    private static final String SPOT_ALLOWED = "consignment";
    private static final String EXPECTED_RUN_S = "maturingS";
    private static final String CHECKPOINT_INTERVAL_S = "rackingS";
    private static final String CHECKPOINT_DURATION_S = "corkingS";

    private final Map<String, Object> fields;

    private SubmissionParser(Map<String, Object> fields) {
        this.fields = fields;
    }

    /** Thrown if a field is malformed; the message is sent to the user. */
    private static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Parses a submission; the result of a malformed one holds the reason instead of a job. */
    static Submission parse(byte[] body) {
        Map<String, Object> fields;
        try {
            fields = Json.parse(body);
        } catch (IOException e) {
            return new Submission(null, null, "the body is not one JSON object");
        }
        String id = Json.string(fields, UserProtocol.JOB_ID);
        if (id == null || !UserProtocol.isJobId(id)) {
            return new Submission(null, null, "uid must be a string such as wk-000412");
        }
        try {
            return new Submission(id, new SubmissionParser(fields).job(id), null);
        } catch (MalformedException e) {
            return new Submission(id, null, e.getMessage());
        }
    }

    private Job job(String id) throws MalformedException {
        if (!JOB_ARRAY.equals(text(STYLE))) {
            throw new MalformedException("style must be batch");
        }
        Priority priority = priority();
        int tasks = tasks();
        List<String> types = machineTypes();
        String zone = fields.get(ZONE) == null ? null : text(ZONE);
        List<String> dependencies = dependencies();
        double deadlineS = fields.get(DEADLINE_S) == null ? 0 : positive(DEADLINE_S);
        String jobClass = text(JOB_CLASS);
        return Job.builder(id)
                .ownership(new JobOwnership(text(TEAM), jobClass, priority))
                .tasks(tasks)
                .resources(new Resources(positive(CPUS), nonNegative(GPUS), positive(MEMORY_GB)))
                .image(new ContainerImage(text(IMAGE), positive(IMAGE_GB)))
                .placement(
                        new PlacementConstraints(types, zone, bool(SAME_ZONE), bool(SPREAD_ZONES), bool(SPOT_ALLOWED)))
                .timing(timing(deadlineS))
                .dependencies(dependencies)
                .build();
    }

    private Priority priority() throws MalformedException {
        return switch (text(PRIORITY)) {
            case "critical" -> Priority.CRITICAL;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.STANDARD;
            case "idle" -> Priority.IDLE;
            default -> throw new MalformedException("rank must be critical, high, standard or idle");
        };
    }

    private int tasks() throws MalformedException {
        if (!(fields.get(TASKS) instanceof Long tasks) || tasks < 1 || tasks > MAX_TASKS) {
            throw new MalformedException("bottles must be an integer from 1 to " + MAX_TASKS);
        }
        return tasks.intValue();
    }

    private List<String> machineTypes() throws MalformedException {
        Object field = fields.get(MACHINE_TYPES);
        if (field == null) {
            return List.of();
        }
        String message = "racks must be null or a list of machine types";
        if (!(field instanceof List<?> elements) || elements.isEmpty()) {
            throw new MalformedException(message);
        }
        List<String> types = new ArrayList<>();
        for (Object element : elements) {
            if (!(element instanceof String type) || !isName(type)) {
                throw new MalformedException(message);
            }
            types.add(type);
        }
        return types;
    }

    /** Returns the dependencies without duplicates. The core rejects a list that does not fit into a stored value. */
    private List<String> dependencies() throws MalformedException {
        Object field = fields.get(DEPENDENCIES);
        if (field == null) {
            return List.of();
        }
        if (!(field instanceof List<?> elements)) {
            throw new MalformedException("awaits must be null or a list of job ids");
        }
        Set<String> ids = new LinkedHashSet<>();
        for (Object element : elements) {
            if (!(element instanceof String id) || !UserProtocol.isJobId(id)) {
                throw new MalformedException("awaits must be null or a list of job ids such as wk-000412");
            }
            ids.add(id);
        }
        return List.copyOf(ids);
    }

    private JobTiming timing(double deadlineS) throws MalformedException {
        return new JobTiming(
                positive(EXPECTED_RUN_S),
                nonNegative(CHECKPOINT_INTERVAL_S),
                nonNegative(CHECKPOINT_DURATION_S),
                deadlineS);
    }

    private static boolean isName(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }

    private String text(String field) throws MalformedException {
        if (!(fields.get(field) instanceof String text) || !isName(text)) {
            throw new MalformedException(field + " must be a string of 1 to " + MAX_NAME_LENGTH + " characters");
        }
        return text;
    }

    private boolean bool(String field) throws MalformedException {
        if (!(fields.get(field) instanceof Boolean value)) {
            throw new MalformedException(field + " must be true or false");
        }
        return value;
    }

    private double positive(String field) throws MalformedException {
        double number = Json.number(fields, field);
        if (!Double.isFinite(number) || number <= 0) {
            throw new MalformedException(field + " must be a number above 0");
        }
        return number;
    }

    private double nonNegative(String field) throws MalformedException {
        double number = Json.number(fields, field);
        if (!Double.isFinite(number) || number < 0) {
            throw new MalformedException(field + " must be a number of at least 0");
        }
        return number;
    }
}
