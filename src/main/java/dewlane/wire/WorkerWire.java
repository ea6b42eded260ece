package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.model.Order;
import dewlane.core.model.Report;
import dewlane.core.model.Report.End;
import dewlane.core.model.Report.Phase;
import dewlane.core.model.Report.TaskState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The workers' protocol. */
public final class WorkerWire {
    public static final String REPORT = "/v1/report";
    public static final String COMMAND = "/do";

    private WorkerWire() {}

    /** Reads a report; throws if it lacks what makes it one. */
    public static Report report(byte[] body) throws IOException {
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
        List<TaskState> tasks = new ArrayList<>();
        for (Object o : Json.list(in, "bottles")) {
            Map<String, Object> t = Json.object(o);
            String name = Json.string(t, "bottle");
            int slash = name == null ? -1 : name.lastIndexOf('/');
            if (slash < 1) {
                throw new IOException("not a task: " + name);
            }
            Phase phase = phase(Json.string(t, "condition"));
            tasks.add(new TaskState(
                    name.substring(0, slash),
                    Integer.parseInt(name.substring(slash + 1)),
                    (int) Json.whole(t, "try"),
                    phase,
                    phase == Phase.EXITED ? end(Json.string(t, "fault")) : null,
                    Json.flag(t, "kept")));
        }
        return new Report(
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

    private static End end(String word) {
        return switch (String.valueOf(word)) {
            case "done" -> End.DONE;
            case "stopped" -> End.STOPPED;
            case "full" -> End.NO_ROOM;
            case "busy" -> End.BUSY;
            case "no_such" -> End.UNKNOWN;
            default -> End.ERROR;
        };
    }

    /** The answer to a report: the token to obey and the commands under it. */
    public static byte[] answer(long token, List<Order> orders) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("seal", token);
            orders(out, orders);
            out.writeEndObject();
        });
    }

    /** The body of a direct command, valid for one session of the worker. */
    public static byte[] command(long session, long token, List<Order> orders) {
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

    private static void orders(JsonGenerator out, List<Order> orders) throws IOException {
        out.writeArrayFieldStart("orders");
        for (Order o : orders) {
            out.writeStartObject();
            out.writeStringField(
                    "order",
                    switch (o.kind()) {
                        case LAUNCH -> "launch";
                        case STOP -> "stop";
                        case FORGET -> "forget";
                    });
            out.writeStringField("bottle", o.job() + "/" + o.task());
            out.writeNumberField("try", o.attempt());
            if (o.kind() == Order.Kind.STOP) {
                out.writeNumberField("restS", o.graceS());
            }
            out.writeEndObject();
        }
        out.writeEndArray();
    }
}
