import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the cloud. */
final class Cloud2 {
    static final class Entrance {
        volatile boolean down;
        String address;
    }

    private static final class Machine {
        Worker2 worker;
        String type;
        String zone;
        boolean spot;
        long rentedAt;
        long listedFrom;
        long goneAt = Long.MAX_VALUE;
        boolean up;
    }

    private final World2 world;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> indents = new HashMap<>();
    private int next = 1;
    volatile int capacity;

    Cloud2(World2 world, int capacity) {
        this.world = world;
        this.capacity = capacity;
    }

    Entrance entrance() throws IOException {
        Entrance entrance = new Entrance();
        entrance.address = Http2.serve((method, path, query, body) -> {
            Thread.sleep(20);
            if (entrance.down) {
                return new Http2.Answer(503, "{\"error\":\"trouble\"}");
            }
            return handle(method, path, query, body);
        });
        return entrance;
    }

    private Http2.Answer handle(String method, String path, Map<String, String> query, String body) throws Exception {
        if (path.equals("/catalog")) {
            List<Object> racks = new ArrayList<>();
            for (World2.Type type : world.types) {
                racks.add(Json2.of(
                        "name", type.name(), "vcpus", type.cpus(), "gpus", 0L, "ramGb", type.ramGb(), "cacheGb", 70L,
                        "fetchGbPerS", type.fetchGbPerS() * world.fetchSpeedup, "hourly", 0.64, "marketPrice", 0.24,
                        "readyS", type.bootS(), "cellars", world.zones));
            }
            return new Http2.Answer(200, Json2.write(Json2.of("racks", racks)));
        } else if (path.equals("/machines/delete")) {
            List<Object> names = Json2.list(Json2.object(body).get("casks"));
            for (Object name : names) {
                delete((String) name);
            }
            world.note("cloud deletes " + names);
            return new Http2.Answer(200, "{}");
        } else if (method.equals("POST")) {
            return rent(Json2.object(body));
        }
        return list(query);
    }

    private synchronized void delete(String name) {
        Machine machine = machines.get(name);
        if (machine != null && machine.goneAt == Long.MAX_VALUE) {
            machine.goneAt = world.nowMs();
            if (machine.worker != null) {
                machine.worker.terminate("deleted");
            }
        }
    }

    /** The cloud takes a machine back. */
    void take(String name) {
        world.note("cloud takes " + name);
        delete(name);
    }

    private synchronized Http2.Answer rent(Map<String, Object> request) throws IOException {
        String indent = (String) request.get("indent");
        if (!indents.containsKey(indent)) {
            long up = machines.values().stream().filter(m -> m.goneAt == Long.MAX_VALUE).count();
            int count = (int) Math.min(Json2.integer(request.get("count")), capacity - up);
            if (count <= 0) {
                return new Http2.Answer(503, "{\"error\":\"no capacity\"}");
            }
            List<String> names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String type = (String) request.get("rack");
                double bootS = world.types.stream().filter(t -> t.name().equals(type)).findFirst().orElseThrow().bootS();
                names.add(rentOne(
                        type,
                        (String) request.get("cellar"),
                        (Boolean) request.get("consignment"),
                        bootS * (0.6 + 0.9 * world.random.nextDouble())));
            }
            indents.put(indent, names);
        }
        world.note("cloud rents " + indent + ": " + indents.get(indent));
        return new Http2.Answer(200, Json2.write(Json2.of("casks", indents.get(indent))));
    }

    private synchronized String rentOne(String type, String zone, boolean spot, double bootS) throws IOException {
        String name = String.format("vm-%06d", next++);
        Machine machine = new Machine();
        machine.type = type;
        machine.zone = zone;
        machine.spot = spot;
        machine.rentedAt = world.nowMs();
        machine.listedFrom = world.nowMs() + (long) (1000 * world.listLagS);
        machines.put(name, machine);
        World2.Type found = world.types.stream().filter(t -> t.name().equals(type)).findFirst().orElseThrow();
        Http2.start(() -> {
            Thread.sleep((long) (1000 * bootS));
            synchronized (this) {
                if (machine.goneAt == Long.MAX_VALUE) {
                    machine.worker = new Worker2(world, name, found, zone, spot);
                    world.workers.put(name, machine.worker);
                    machine.up = true;
                    world.note("machine " + name + " is up: " + type + " " + zone + (spot ? " spot" : ""));
                    machine.worker.begin();
                }
            }
        });
        return name;
    }

    /** Adds a machine that is up at the start. */
    Worker2 boot(String type, String zone, boolean spot, double bootS) throws IOException {
        String name;
        synchronized (this) {
            name = rentOne(type, zone, spot, bootS);
            machines.get(name).listedFrom = 0;
        }
        while (!world.workers.containsKey(name)) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        return world.workers.get(name);
    }

    private synchronized Http2.Answer list(Map<String, String> query) {
        String since = query.getOrDefault("since", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Object> casks = new ArrayList<>();
        boolean more = false;
        long lagMs = (long) (1000 * world.listLagS);
        for (Map.Entry<String, Machine> entry : machines.tailMap(since, false).entrySet()) {
            Machine machine = entry.getValue();
            boolean listed = world.nowMs() >= machine.listedFrom
                    && (machine.goneAt == Long.MAX_VALUE || world.nowMs() < machine.goneAt + lagMs);
            if (!listed) {
                continue;
            }
            if (casks.size() == limit) {
                more = true;
                break;
            }
            casks.add(Json2.of(
                    "uid", entry.getKey(), "address", machine.worker == null ? "127.0.0.1:1" : machine.worker.address,
                    "rack", machine.type, "cellar", machine.zone, "consignment", machine.spot, "condition",
                    machine.up ? "running" : "starting", "heldS", (world.nowMs() - machine.rentedAt) / 1000.0));
        }
        return new Http2.Answer(200, Json2.write(Json2.of("casks", casks, "more", more)));
    }
}
