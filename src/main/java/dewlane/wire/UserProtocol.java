package dewlane.wire;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.model.ContainerImage;
import dewlane.core.model.Job;
import dewlane.core.model.JobOwnership;
import dewlane.core.model.JobTiming;
import dewlane.core.model.PlacementConstraints;
import dewlane.core.model.Priority;
import dewlane.core.model.Resources;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** The users' protocol. */
public final class UserProtocol {
    public static final String JOBS_PATH = "/v2/runs";
    public static final String CANCEL_ACTION = "abort";

    private static final Pattern UID = Pattern.compile("wk-[0-9]{1,30}");
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME = 200;

    private UserProtocol() {}

    /** A submission's body: the job, or why it is malformed; the id is kept if it at least has one. */
    public record Submission(String jobId, Job job, String rejection) {}

    private static final class Malformed extends Exception {
        private static final long serialVersionUID = 1;

        Malformed(String reason) {
            super(reason, null, false, false);
        }
    }

    /** True if the text has the form of a job id. */
    public static boolean isJobId(String id) {
        return UID.matcher(id).matches();
    }

    /** Reads a submission; one that is malformed says why. */
    public static Submission submission(byte[] body) {
        Map<String, Object> in;
        try {
            in = Json.object(body);
        } catch (IOException e) {
            return new Submission(null, null, "the body is not one JSON object");
        }
        String uid = Json.string(in, "uid");
        if (uid == null || !isJobId(uid)) {
            return new Submission(null, null, "uid must be a string such as wk-000412");
        }
        try {
            return new Submission(uid, job(uid, in), null);
        } catch (Malformed e) {
            return new Submission(uid, null, e.getMessage());
        }
    }

    /** Reads the fields in a fixed order, since the first that is malformed is the one that the user is told of. */
    private static Job job(String uid, Map<String, Object> in) throws Malformed {
        if (!"batch".equals(text(in, "style"))) {
            throw new Malformed("style must be batch");
        }
        Priority priority = priority(in);
        int tasks = tasks(in);
        List<String> types = types(in.get("racks"));
        String zone = in.get("cellar") == null ? null : text(in, "cellar");
        List<String> awaits = awaits(in.get("awaits"));
        double deadlineS = in.get("shipByS") == null ? 0 : amount(in, "shipByS", false);
        String jobClass = text(in, "lot");
        return Job.builder(uid)
                .ownership(new JobOwnership(text(in, "house"), jobClass, priority))
                .tasks(tasks)
                .resources(resources(in))
                .image(new ContainerImage(text(in, "blend"), amount(in, "pullGb", false)))
                .placement(new PlacementConstraints(
                        types, zone, flag(in, "samePlace"), flag(in, "scatter"), flag(in, "consignment")))
                .timing(timing(in, deadlineS))
                .dependencies(awaits)
                .build();
    }

    private static Priority priority(Map<String, Object> in) throws Malformed {
        return switch (text(in, "rank")) {
            case "critical" -> Priority.CRITICAL;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.STANDARD;
            case "idle" -> Priority.IDLE;
            default -> throw new Malformed("rank must be critical, high, standard or idle");
        };
    }

    private static int tasks(Map<String, Object> in) throws Malformed {
        if (!(in.get("bottles") instanceof Long tasks) || tasks < 1 || tasks > MAX_TASKS) {
            throw new Malformed("bottles must be an integer from 1 to " + MAX_TASKS);
        }
        return tasks.intValue();
    }

    private static List<String> types(Object field) throws Malformed {
        if (field == null) {
            return List.of();
        }
        if (!(field instanceof List<?> racks) || racks.isEmpty()) {
            throw new Malformed("racks must be null or a list of machine types");
        }
        List<String> types = new ArrayList<>();
        for (Object rack : racks) {
            if (!(rack instanceof String type) || type.isEmpty() || type.length() > MAX_NAME) {
                throw new Malformed("racks must be null or a list of machine types");
            }
            types.add(type);
        }
        return types;
    }

    private static Resources resources(Map<String, Object> in) throws Malformed {
        return new Resources(amount(in, "vcpus", false), amount(in, "gpus", true), amount(in, "ramGb", false));
    }

    private static JobTiming timing(Map<String, Object> in, double deadlineS) throws Malformed {
        return new JobTiming(
                amount(in, "maturingS", false), amount(in, "rackingS", true), amount(in, "corkingS", true), deadlineS);
    }

    /** Each awaited job once; more than a body holds cannot come, and what fits no stored value the core refuses. */
    private static List<String> awaits(Object field) throws Malformed {
        if (field == null) {
            return List.of();
        }
        if (!(field instanceof List<?> list)) {
            throw new Malformed("awaits must be null or a list of job ids");
        }
        Set<String> ids = new LinkedHashSet<>();
        for (Object id : list) {
            if (!(id instanceof String text) || !isJobId(text)) {
                throw new Malformed("awaits must be null or a list of job ids such as wk-000412");
            }
            ids.add(text);
        }
        return List.copyOf(ids);
    }

    private static String text(Map<String, Object> in, String field) throws Malformed {
        if (!(in.get(field) instanceof String s) || s.isEmpty() || s.length() > MAX_NAME) {
            throw new Malformed(field + " must be a string of 1 to " + MAX_NAME + " characters");
        }
        return s;
    }

    private static boolean flag(Map<String, Object> in, String field) throws Malformed {
        if (!(in.get(field) instanceof Boolean b)) {
            throw new Malformed(field + " must be true or false");
        }
        return b;
    }

    private static double amount(Map<String, Object> in, String field, boolean zero) throws Malformed {
        double d = Json.number(in, field);
        if (!Double.isFinite(d) || d < 0 || (d == 0 && !zero)) {
            throw new Malformed(field + " must be a number " + (zero ? "of at least 0" : "above 0"));
        }
        return d;
    }

    /** The body that tells a user the state of a job. */
    public static byte[] state(JobStatus state) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField("uid", state.job());
            out.writeStringField("condition", word(state.condition()));
            out.writeNumberField("done", state.done());
            out.writeNumberField("running", state.running());
            out.writeEndObject();
        });
    }

    private static String word(JobCondition condition) {
        return switch (condition) {
            case PENDING -> "pending";
            case RUNNING -> "running";
            case DONE -> "done";
            case CANCELLED -> "aborted";
        };
    }

    /** The body that tells a user why a request was refused. */
    public static byte[] error(String reason) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField("error", reason);
            out.writeEndObject();
        });
    }
}
