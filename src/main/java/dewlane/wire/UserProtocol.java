package dewlane.wire;

import dewlane.core.message.Effect.JobCondition;
import dewlane.core.message.Effect.JobStatus;
import dewlane.core.model.Job;
import java.util.regex.Pattern;

/** The protocol between users and controllers: submissions, queries, cancellations, and the answers to them. */
public final class UserProtocol {
    /** The path of submissions; followed by a slash and a job id, the path of status queries. */
    public static final String JOBS_PATH = "/v2/runs";
    /** The last segment of the path that cancels a job. */
    public static final String CANCEL_ACTION = "abort";

    static final String JOB_ID = "uid";

    private static final String CONDITION = "condition";
    private static final String TASKS_DONE = "done";
    private static final String TASKS_RUNNING = "running";
    private static final String ERROR = "error";
    private static final Pattern JOB_ID_PATTERN = Pattern.compile("wk-[0-9]{1,30}");

    private UserProtocol() {}

    /**
     * A parsed submission.
     *
     * @param jobId the job's id, or null if the body has no well-formed one
     * @param job the job, or null if the body is malformed
     * @param bodyError why the body is malformed, or null if it is not
     */
    public record Submission(String jobId, Job job, String bodyError) {}

    /** Returns true if the text is a well-formed job id. */
    public static boolean isJobId(String text) {
        return JOB_ID_PATTERN.matcher(text).matches();
    }

    /** Parses a submission; the result of a malformed one holds the reason instead of a job. */
    public static Submission parseSubmission(byte[] body) {
        return SubmissionParser.parse(body);
    }

    /** Returns the body of an answer with the status of a job. */
    public static byte[] jobStatus(JobStatus status) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField(JOB_ID, status.job());
            out.writeStringField(CONDITION, conditionName(status.condition()));
            out.writeNumberField(TASKS_DONE, status.done());
            out.writeNumberField(TASKS_RUNNING, status.running());
            out.writeEndObject();
        });
    }

    private static String conditionName(JobCondition condition) {
        return switch (condition) {
            case PENDING -> "pending";
            case RUNNING -> "running";
            case DONE -> "done";
            case CANCELLED -> "aborted";
        };
    }

    /** Returns the body of an answer that says why a request was rejected. */
    public static byte[] error(String reason) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField(ERROR, reason);
            out.writeEndObject();
        });
    }
}
