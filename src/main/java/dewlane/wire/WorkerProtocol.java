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

/** The protocol between workers and controllers: heartbeats, the answers to them, and direct commands. */
public final class WorkerProtocol {
    /** The path on controllers that receives heartbeats. */
    public static final String HEARTBEAT_PATH = "/v1/report";
    /** The path on workers that receives direct commands. */
    public static final String COMMAND_PATH = "/do";

    private static final String MACHINE = "cask";
    private static final String ADDRESS = "address";
    private static final String MACHINE_TYPE = "rack";
    private static final String ZONE = "cellar";
    private static final String SPOT = "consignment";
    private static final String INCARNATION = "pour";
    private static final String SEQUENCE = "tally";
    private static final String FENCING_TOKEN = "seal";
    private static final String TERMINATION_NOTICE_S = "recallS";
    private static final String TASKS = "bottles";
    private static final String TASK = "bottle";
    private static final String ATTEMPT = "try";
    private static final String PHASE = "condition";
    private static final String EXIT_REASON = "fault";
    private static final String CHECKPOINT_SAVED = "kept";
    private static final String CONTROLLER = "steward";
    private static final String COMMANDS = "orders";
    private static final String ACTION = "order";
    private static final String GRACE_S = "restS";

    private WorkerProtocol() {}

    /**
     * Parses a heartbeat.
     *
     * @throws IOException if the body is not JSON, lacks a required field, or has a malformed task
     * @throws NumberFormatException if the index in a task's name is not an integer
     */
    public static Heartbeat parseHeartbeat(byte[] body) throws IOException {
        Map<String, Object> fields = Json.parse(body);
        String machine = Json.string(fields, MACHINE);
        String address = Json.string(fields, ADDRESS);
        String type = Json.string(fields, MACHINE_TYPE);
        String zone = Json.string(fields, ZONE);
        boolean named = machine != null && !machine.isEmpty() && address != null && type != null && zone != null;
        if (!named || Json.integer(fields, INCARNATION) < 1) {
            throw new IOException("not a report");
        }
        List<TaskStatus> tasks = new ArrayList<>();
        for (Object element : Json.list(fields, TASKS)) {
            tasks.add(taskStatus(Json.asObject(element)));
        }
        return new Heartbeat(
                machine,
                address,
                type,
                zone,
                Json.bool(fields, SPOT),
                Json.integer(fields, INCARNATION),
                Json.integer(fields, SEQUENCE),
                Json.integer(fields, FENCING_TOKEN),
                Json.number(fields, TERMINATION_NOTICE_S),
                tasks);
    }

    private static TaskStatus taskStatus(Map<String, Object> fields) throws IOException {
        String name = Json.string(fields, TASK);
        int slash = name == null ? -1 : name.lastIndexOf('/');
        if (slash < 1) {
            throw new IOException("field bottle: expected JOB/INDEX, got " + name);
        }
        Phase phase = phase(Json.string(fields, PHASE));
        return new TaskStatus(
                name.substring(0, slash),
                Integer.parseInt(name.substring(slash + 1)),
                (int) Json.integer(fields, ATTEMPT),
                phase,
                phase == Phase.EXITED ? exitReason(Json.string(fields, EXIT_REASON)) : null,
                Json.bool(fields, CHECKPOINT_SAVED));
    }

    private static Phase phase(String name) throws IOException {
        return switch (String.valueOf(name)) {
            case "pulling" -> Phase.FETCHING;
            case "running" -> Phase.RUNNING;
            case "saving" -> Phase.SAVING;
            case "ended" -> Phase.EXITED;
            default ->
                throw new IOException("field condition: expected pulling, running, saving or ended, got " + name);
        };
    }

    private static ExitReason exitReason(String name) {
        return switch (String.valueOf(name)) {
            case "done" -> ExitReason.DONE;
            case "stopped" -> ExitReason.STOPPED;
            case "full" -> ExitReason.NO_ROOM;
            case "busy" -> ExitReason.BUSY;
            case "no_such" -> ExitReason.UNKNOWN;
            default -> ExitReason.ERROR;
        };
    }

    /** Returns the body of the answer to a heartbeat: the current fencing token and commands with that token. */
    public static byte[] heartbeatAnswer(long fencingToken, List<WorkerCommand> commands) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField(FENCING_TOKEN, fencingToken);
            writeCommands(out, commands);
            out.writeEndObject();
        });
    }

    /** Returns the body of direct commands, which are valid for one incarnation of the worker. */
    public static byte[] commandRequest(long incarnation, long fencingToken, List<WorkerCommand> commands) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField(FENCING_TOKEN, fencingToken);
            out.writeNumberField(INCARNATION, incarnation);
            writeCommands(out, commands);
            out.writeEndObject();
        });
    }

    /** Returns the body of an answer that names the controller to send heartbeats to, or none if it is null. */
    public static byte[] redirectAnswer(String controller) {
        return Json.write(out -> {
            out.writeStartObject();
            if (controller != null) {
                out.writeStringField(CONTROLLER, controller);
            }
            out.writeEndObject();
        });
    }

    private static void writeCommands(JsonGenerator out, List<WorkerCommand> commands) throws IOException {
        out.writeArrayFieldStart(COMMANDS);
        for (WorkerCommand command : commands) {
            out.writeStartObject();
            out.writeStringField(ACTION, actionName(command.action()));
            out.writeStringField(TASK, command.job() + "/" + command.task());
            out.writeNumberField(ATTEMPT, command.attempt());
            if (command.action() == WorkerCommand.Action.STOP) {
                out.writeNumberField(GRACE_S, command.graceS());
            }
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static String actionName(WorkerCommand.Action action) {
        return switch (action) {
            case LAUNCH -> "launch";
            case STOP -> "stop";
            case FORGET -> "forget";
        };
    }
}
