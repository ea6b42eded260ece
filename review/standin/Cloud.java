import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL. Its machines boot after a time that the case sets. */
final class Cloud {
    interface Factory {
        Worker worker(String name, Map<String, Object> rack, String zone, boolean spot) throws IOException;
    }

    private static final class Cask {
        final Worker worker;
        final double rentedAt;
        final double bootsAt;
        boolean up;

        Cask(Worker worker, double rentedAt, double bootsAt) {
            this.worker = worker;
            this.rentedAt = rentedAt;
            this.bootsAt = bootsAt;
        }
    }

    private final List<Map<String, Object>> racks;
    private final Factory factory;
    private final double bootS;
    private final double listLagS;
    private final TreeMap<String, Cask> casks = new TreeMap<>();
    private final Map<String, Http.Answer> indents = new HashMap<>();
    private final HttpServer server;
    private int next = 1;
    private int capacity;

    /** Creates a cloud that rents at most {@code capacity} more machines. */
    Cloud(List<Map<String, Object>> racks, Factory factory, double bootS, double listLagS, int capacity)
            throws IOException {
        this.racks = racks;
        this.factory = factory;
        this.bootS = bootS;
        this.listLagS = listLagS;
        this.capacity = capacity;
        this.server = Http.serve(this::handle);
        Http.THREADS.execute(this::bootLoop);
    }

    String address() {
        return Http.address(server);
    }

    synchronized void setCapacity(int machines) {
        capacity = machines;
    }

    /** Adds a machine that is up at once, under the given name or the next one. */
    synchronized Worker add(String rack, String zone, boolean spot) throws IOException {
        String name = rent(rack, zone, spot, 0);
        return casks.get(name).worker;
    }

    synchronized List<Worker> workers() {
        List<Worker> workers = new ArrayList<>();
        casks.values().forEach(cask -> workers.add(cask.worker));
        return workers;
    }

    /** The cloud takes a machine back: it is gone with all that is on it, and the list shows it a little longer. */
    void take(Worker worker) {
        worker.stop("the cloud took the machine back");
        Http.THREADS.execute(() -> {
            Worker.sleep((long) (1000 * listLagS));
            synchronized (this) {
                casks.remove(worker.name);
            }
        });
    }

    private Map<String, Object> rack(String name) {
        return racks.stream().filter(rack -> rack.get("name").equals(name)).findFirst().orElse(null);
    }

    private String rent(String rack, String zone, boolean spot, double boot) throws IOException {
        String name = String.format("vm-%06d", next++);
        Worker worker = factory.worker(name, rack(rack), zone, spot);
        casks.put(name, new Cask(worker, Log.now(), Log.now() + boot));
        Log.line("machine " + name + " is rented: " + rack + " in " + zone + (spot ? ", spot" : ""));
        boot();
        return name;
    }

    private void bootLoop() {
        while (true) {
            boot();
            Worker.sleep(50);
        }
    }

    private synchronized void boot() {
        for (Cask cask : casks.values()) {
            if (!cask.up && Log.now() >= cask.bootsAt) {
                cask.up = true;
                Log.line("machine " + cask.worker.name + " is up");
                cask.worker.start();
            }
        }
    }

    private synchronized Http.Answer handle(String method, String path, String query, String body)
            throws IOException {
        if (path.equals("/catalog")) {
            return new Http.Answer(200, Json.write(Json.map("racks", racks)));
        } else if (path.equals("/machines/delete")) {
            return delete(Json.object(body));
        } else if (path.equals("/machines") && method.equals("POST")) {
            return create(Json.object(body));
        } else if (path.equals("/machines")) {
            return list(query);
        }
        return new Http.Answer(404, "{}");
    }

    private Http.Answer create(Map<String, Object> request) throws IOException {
        String indent = (String) request.get("indent");
        if (indents.containsKey(indent)) {
            return indents.get(indent);
        }
        int count = (int) Math.min(Json.integer(request, "count"), capacity);
        if (count <= 0) {
            return new Http.Answer(503, "{\"error\":\"no capacity\"}");
        }
        capacity -= count;
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(rent(
                    (String) request.get("rack"),
                    (String) request.get("cellar"),
                    Boolean.TRUE.equals(request.get("consignment")),
                    bootS));
        }
        Http.Answer answer = new Http.Answer(200, Json.write(Json.map("casks", names)));
        indents.put(indent, answer);
        return answer;
    }

    @SuppressWarnings("unchecked")
    private Http.Answer delete(Map<String, Object> request) {
        for (String name : (List<String>) request.get("casks")) {
            Cask cask = casks.remove(name);
            if (cask != null) {
                Log.line("machine " + name + " is deleted by a controller");
                cask.up = true;
                cask.worker.stop("the machine was deleted");
            }
        }
        return new Http.Answer(200, "{}");
    }

    private Http.Answer list(String query) {
        String since = Http.parameter(query, "since", "");
        List<Object> found = new ArrayList<>();
        casks.tailMap(since, false).forEach((name, cask) -> {
            double held = Log.now() - cask.rentedAt;
            if (held >= listLagS) {
                found.add(Json.map(
                        "uid", name,
                        "address", cask.worker.address(),
                        "rack", cask.worker.type,
                        "cellar", cask.worker.zone,
                        "consignment", cask.worker.spot,
                        "condition", cask.up && Log.now() - cask.bootsAt >= listLagS ? "running" : "starting",
                        "heldS", held));
            }
        });
        return new Http.Answer(200, Json.write(Json.map("casks", found, "more", false)));
    }
}
