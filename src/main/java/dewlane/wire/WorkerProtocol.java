package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Heartbeat.TaskStatus;
import dewlane.core.model.WorkerCommand;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The workers' protocol. */
public final class WorkerProtocol {
    public static final String REPORT = "/v1/report";
    public static final String COMMAND = "/do";

    private WorkerProtocol() {}

    /** Reads a report; throws if it lacks what makes it one. */
    public static Heartbeat report(byte[] body) throws IOException {
        Map<String, Object> in = Json.object(body);
        String machine = Json.string(in, "cask");
        String address = Json.string(in, "address");
        String type = Json.string(in, "rack");
        String zone = Json.string(in, "cellar");
        if (machine == null
                || machine.isEmpty()
                || address == null
                || type == null
                || zone == null
                || Json.whole(in, "pour") < 1) {
            throw new IOException("not a report");
        }
        List<TaskStatus> tasks = new ArrayList<>();
        for (Object o : Json.list(in, "bottles")) {
            Map<String, Object> t = Json.object(o);
            String name = Json.string(t, "bottle");
            int slash = name == null ? -1 : name.lastIndexOf('/');
            if (slash < 1) {
                throw new IOException("not a task: " + name);
            }
            Phase phase = phase(Json.string(t, "condition"));
            tasks.add(new TaskStatus(
                    name.substring(0, slash),
                    Integer.parseInt(name.substring(slash + 1)),
                    (int) Json.whole(t, "try"),
                    phase,
                    phase == Phase.EXITED ? end(Json.string(t, "fault")) : null,
                    Json.flag(t, "kept")));
        }
        return new Heartbeat(
                machine,
                address,
                type,
                zone,
                Json.flag(in, "consignment"),
                Json.whole(in, "pour"),
                Json.whole(in, "tally"),
                Json.whole(in, "seal"),
                Json.number(in, "recallS"),
                tasks);
    }

    private static Phase phase(String word) throws IOException {
        return switch (String.valueOf(word)) {
            case "pulling" -> Phase.FETCHING;
            case "running" -> Phase.RUNNING;
            case "saving" -> Phase.SAVING;
            case "ended" -> Phase.EXITED;
            default -> throw new IOException("unknown task state " + word);
        };
    }

    private static ExitReason end(String word) {
        return switch (String.valueOf(word)) {
            case "done" -> ExitReason.DONE;
            case "stopped" -> ExitReason.STOPPED;
            case "full" -> ExitReason.NO_ROOM;
            case "busy" -> ExitReason.BUSY;
            case "no_such" -> ExitReason.UNKNOWN;
            default -> ExitReason.ERROR;
        };
    }

    /** The answer to a report: the token to obey and the commands under it. */
    public static byte[] answer(long token, List<WorkerCommand> orders) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("seal", token);
            orders(out, orders);
            out.writeEndObject();
        });
    }

    /** The body of a direct command, valid for one session of the worker. */
    public static byte[] command(long session, long token, List<WorkerCommand> orders) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("seal", token);
            out.writeNumberField("pour", session);
            orders(out, orders);
            out.writeEndObject();
        });
    }

    /** The body of a refusal that names the controller to report to; null names none. */
    public static byte[] redirect(String node) {
        return Json.write(out -> {
            out.writeStartObject();
            if (node != null) {
                out.writeStringField("steward", node);
            }
            out.writeEndObject();
        });
    }

    private static void orders(JsonGenerator out, List<WorkerCommand> orders) throws IOException {
        out.writeArrayFieldStart("orders");
        for (WorkerCommand command : orders) {
            out.writeStartObject();
            out.writeStringField(
                    "order",
                    switch (command.action()) {
                        case LAUNCH -> "launch";
                        case STOP -> "stop";
                        case FORGET -> "forget";
                    });
            out.writeStringField("bottle", command.job() + "/" + command.task());
            out.writeNumberField("try", command.attempt());
            if (command.action() == WorkerCommand.Action.STOP) {
                out.writeNumberField("restS", command.graceS());
            }
            out.writeEndObject();
        }
        out.writeEndArray();
    }
}
