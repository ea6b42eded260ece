package dewlane.wire;

import dewlane.core.model.CloudInstance;
import dewlane.core.model.MachineType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The cloud's protocol. */
public final class CloudProtocol {
    public static final String CATALOG = "/catalog";
    public static final String MACHINES = "/machines";
    public static final String DELETE = "/machines/delete";
    public static final int MAX_DELETE = 100;
    private static final int PAGE = 500;

    private CloudProtocol() {}

    /** A page of the machine list. */
    public record Page(List<CloudInstance> machines, boolean more) {}

    /** Reads the machine types, their zones and present prices. */
    public static List<MachineType> catalog(byte[] body) throws IOException {
        List<MachineType> types = new ArrayList<>();
        for (Object o : Json.list(Json.object(body), "racks")) {
            Map<String, Object> t = Json.object(o);
            types.add(new MachineType(
                    Json.string(t, "name"),
                    Json.number(t, "vcpus"),
                    zeroIfNone(t, "gpus"),
                    Json.number(t, "ramGb"),
                    Json.number(t, "cacheGb"),
                    Json.number(t, "fetchGbPerS"),
                    Json.number(t, "hourly"),
                    Json.number(t, "marketPrice"),
                    Json.number(t, "readyS"),
                    Json.strings(t, "cellars")));
        }
        return types;
    }

    private static double zeroIfNone(Map<String, Object> of, String field) {
        double d = Json.number(of, field);
        return Double.isNaN(d) ? 0 : d;
    }

    /** The path of one page of the machine list, beginning after the given name; null begins at the first. */
    public static String page(String after) {
        return MACHINES + "?limit=" + PAGE + (after == null ? "" : "&since=" + after);
    }

    /** Reads one page of the machine list. */
    public static Page page(byte[] body) throws IOException {
        Map<String, Object> in = Json.object(body);
        List<CloudInstance> machines = new ArrayList<>();
        for (Object o : Json.list(in, "casks")) {
            Map<String, Object> m = Json.object(o);
            machines.add(new CloudInstance(
                    Json.string(m, "uid"),
                    Json.string(m, "address"),
                    Json.string(m, "rack"),
                    Json.string(m, "cellar"),
                    Json.flag(m, "consignment"),
                    switch (String.valueOf(Json.string(m, "condition"))) {
                        case "running" -> CloudInstance.State.RUNNING;
                        case "failed" -> CloudInstance.State.FAILED;
                        default -> CloudInstance.State.STARTING;
                    },
                    zeroIfNone(m, "heldS")));
        }
        return new Page(machines, Json.flag(in, "more"));
    }

    /** The body of a rental request. */
    public static byte[] rent(String request, String type, String zone, boolean spot, int count) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeStringField("indent", request);
            out.writeStringField("rack", type);
            out.writeStringField("cellar", zone);
            out.writeBooleanField("consignment", spot);
            out.writeNumberField("count", count);
            out.writeEndObject();
        });
    }

    /** The names of the machines that were rented. */
    public static List<String> rented(byte[] body) throws IOException {
        return Json.strings(Json.object(body), "casks");
    }

    /** True if a refusal means that there is no machine of the kind, not that the cloud is out. */
    public static boolean noCapacity(byte[] body) {
        try {
            return "no capacity".equals(Json.string(Json.object(body), "error"));
        } catch (IOException e) {
            return false;
        }
    }

    /** The body that asks for the deletion of machines. */
    public static byte[] delete(List<String> names) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("casks");
            for (String name : names) {
                out.writeString(name);
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }
}
