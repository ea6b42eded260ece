package dewlane.wire;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.model.Job;
import java.util.regex.Pattern;

/** The users' protocol: submissions, and what users are told. */
public final class UserProtocol {
    /** The path for submissions; a slash and a job's id follow for queries. */
    public static final String JOBS_PATH = "/v2/runs";
    /** What follows a job's path and a slash to cancel it. */
    public static final String CANCEL_ACTION = "abort";

    static final String JOB_ID = "uid";

    private static final String CONDITION = "condition";
    private static final String TASKS_DONE = "done";
    private static final String TASKS_RUNNING = "running";
    private static final String ERROR = "error";
    private static final Pattern JOB_ID_FORM = Pattern.compile("wk-[0-9]{1,30}");

    private UserProtocol() {}

    /**
     * A submission's body.
     *
     * @param jobId the job's id, or null if the body has none of the right form
     * @param job the job, or null if the body is malformed
     * @param bodyError why the body is malformed, or null if it is not
     */
    public record Submission(String jobId, Job job, String bodyError) {}

    /** True if the text has the form of a job id. */
    public static boolean isJobId(String text) {
        return JOB_ID_FORM.matcher(text).matches();
    }

    /** Reads a submission; one that is malformed says why. */
    public static Submission submission(byte[] body) {
        return SubmissionParser.parse(body);
    }

    /** The body that tells a user the status of a job. */
    public static byte[] state(JobStatus status) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField(JOB_ID, status.job());
            out.writeStringField(CONDITION, word(status.condition()));
            out.writeNumberField(TASKS_DONE, status.done());
            out.writeNumberField(TASKS_RUNNING, status.running());
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

    /** The body that tells why a request was refused. */
    public static byte[] error(String reason) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField(ERROR, reason);
            out.writeEndObject();
        });
    }
}
