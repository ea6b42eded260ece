package dewlane.wire;

import dewlane.core.message.Effect;
import dewlane.core.model.CloudInstance;
import dewlane.core.model.MachineType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The protocol of the cloud: machine types, instances, and requests to create and delete instances. */
public final class CloudProtocol {
    /** The path that lists the machine types. */
    public static final String MACHINE_TYPES_PATH = "/catalog";
    /** The path that lists and creates instances. */
    public static final String INSTANCES_PATH = "/machines";
    /** The path that deletes instances. */
    public static final String DELETE_PATH = "/machines/delete";

    private static final String MACHINE_TYPES = "racks";
    private static final String INSTANCES = "casks";
    private static final String MACHINE_TYPE = "rack";
    private static final String ZONE = "cellar";
    private static final String ZONES = "cellars";
    private static final String SPOT = "consignment";
    private static final String REQUEST_ID = "indent";
    private static final String COUNT = "count";
    private static final String NAME = "name";
    private static final String INSTANCE_NAME = "uid";
    private static final String ADDRESS = "address";
    private static final String STATE = "condition";
    private static final String AGE_S = "heldS";
    private static final String CPUS = "vcpus";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "ramGb";
    private static final String IMAGE_CACHE_GB = "cacheGb";
    private static final String IMAGE_FETCH_GB_PER_S = "fetchGbPerS";
    private static final String HOURLY_PRICE = "hourly";
    private static final String HOURLY_SPOT_PRICE = "marketPrice";
    private static final String BOOT_S = "readyS";
    private static final String MORE = "more";
    private static final String ERROR = "error";
    private static final String NO_CAPACITY = "no capacity";

    private CloudProtocol() {}

    /**
     * A page of the list of instances.
     *
     * @param more true if another page follows, with greater names
     */
    public record Page(List<CloudInstance> instances, boolean more) {}

    /**
     * Parses the machine types with their zones and current prices.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static List<MachineType> parseMachineTypes(byte[] body) throws IOException {
        List<MachineType> types = new ArrayList<>();
        for (Object element : Json.list(Json.parse(body), MACHINE_TYPES)) {
            types.add(machineType(Json.asObject(element)));
        }
        return types;
    }

    private static MachineType machineType(Map<String, Object> fields) {
        return new MachineType(
                Json.string(fields, NAME),
                Json.number(fields, CPUS),
                zeroIfAbsent(fields, GPUS),
                Json.number(fields, MEMORY_GB),
                Json.number(fields, IMAGE_CACHE_GB),
                Json.number(fields, IMAGE_FETCH_GB_PER_S),
                Json.number(fields, HOURLY_PRICE),
                Json.number(fields, HOURLY_SPOT_PRICE),
                Json.number(fields, BOOT_S),
                Json.strings(fields, ZONES));
    }

    private static double zeroIfAbsent(Map<String, Object> fields, String field) {
        double number = Json.number(fields, field);
        return Double.isNaN(number) ? 0 : number;
    }

    /** Returns the path of the page of instances after the given name, or of the first page if that is null. */
    public static String pagePath(String after) {
        return INSTANCES_PATH + "?limit=" + Effect.ListInstances.PAGE_SIZE + (after == null ? "" : "&since=" + after);
    }

    /**
     * Parses one page of the list of instances.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static Page parsePage(byte[] body) throws IOException {
        Map<String, Object> fields = Json.parse(body);
        List<CloudInstance> instances = new ArrayList<>();
        for (Object element : Json.list(fields, INSTANCES)) {
            instances.add(instance(Json.asObject(element)));
        }
        return new Page(instances, Json.bool(fields, MORE));
    }

    private static CloudInstance instance(Map<String, Object> fields) {
        return new CloudInstance(
                Json.string(fields, INSTANCE_NAME),
                Json.string(fields, ADDRESS),
                Json.string(fields, MACHINE_TYPE),
                Json.string(fields, ZONE),
                Json.bool(fields, SPOT),
                instanceState(Json.string(fields, STATE)),
                zeroIfAbsent(fields, AGE_S));
    }

    private static CloudInstance.State instanceState(String name) {
        return switch (String.valueOf(name)) {
            case "running" -> CloudInstance.State.RUNNING;
            case "failed" -> CloudInstance.State.FAILED;
            default -> CloudInstance.State.STARTING;
        };
    }

    /** Returns the body of a request to create instances; requests with the same id are idempotent. */
    public static byte[] createRequest(String requestId, String type, String zone, boolean spot, int count) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField(REQUEST_ID, requestId);
            out.writeStringField(MACHINE_TYPE, type);
            out.writeStringField(ZONE, zone);
            out.writeBooleanField(SPOT, spot);
            out.writeNumberField(COUNT, count);
            out.writeEndObject();
        });
    }

    /**
     * Parses the names of the instances that were created.
     *
     * @throws IOException if the body is not a JSON object
     */
    public static List<String> parseCreatedInstances(byte[] body) throws IOException {
        return Json.strings(Json.parse(body), INSTANCES);
    }

    /** Returns true if the error is a lack of capacity for the request, and not an unavailable cloud. */
    public static boolean isNoCapacity(byte[] body) {
        try {
            return NO_CAPACITY.equals(Json.string(Json.parse(body), ERROR));
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the body of a request to delete instances. */
    public static byte[] deleteRequest(List<String> names) {
        return Json.write(out -> {
            out.writeStartObject();
            Json.writeStrings(out, INSTANCES, names);
            out.writeEndObject();
        });
    }
}
