import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

/** Controllers, started as processes with the command of the deploy file, and the stand-ins round them. */
final class Deployment implements Worker.World {
    interface RunTime {
        double seconds(String job, int index, String machine);
    }

    final Map<String, String> serveOn = new LinkedHashMap<>();
    private final Map<String, String> peerBind = new LinkedHashMap<>();
    private final Map<String, String> areas = new LinkedHashMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    private final Map<String, Map<String, Object>> jobs = new HashMap<>();
    private final Map<String, Map<String, Integer>> onMachines = new TreeMap<>();
    private final Map<String, String> zoneOf = new HashMap<>();
    private final Map<String, String> left = new HashMap<>();
    private final Set<String> done = new TreeSet<>();
    final List<String> broken = new ArrayList<>();
    private final Path folder;
    private final List<String> command;
    StateService state;
    Cloud cloud;
    RunTime runTime = (job, index, machine) -> 5;
    private int turn;

    Deployment(int nodes, List<String> zones) throws IOException {
        folder = Files.createTempDirectory("dewlane-review");
        command = runCommand();
        for (int i = 0; i < nodes; i++) {
            String name = "cask-" + i;
            serveOn.put(name, "127.0.0.1:" + freePort());
            peerBind.put(name, "127.0.0.1:" + freePort());
            areas.put(name, zones.get(i % zones.size()));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("deploy/service.toml has no run command");
    }

    /** Returns a free port below the range from which the system takes ports for outgoing connections. */
    private static int freePort() throws IOException {
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + random.nextInt(18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Taken; try another one.
            }
        }
        throw new IOException("no free port");
    }

    /** Writes the settings of all nodes; {@code settings} is all that is common, from its first table on. */
    void writeSettings(String settings) throws IOException {
        for (String node : serveOn.keySet()) {
            StringBuilder text = new StringBuilder();
            text.append("node_name = \"").append(node).append("\"\narea = \"").append(areas.get(node));
            text.append("\"\nserve_on = \"").append(serveOn.get(node));
            text.append("\"\npeer_bind = \"").append(peerBind.get(node)).append("\"\n");
            for (String other : serveOn.keySet()) {
                if (!other.equals(node)) {
                    text.append("\n[[known]]\nnode_name = \"").append(other).append("\"\narea = \"");
                    text.append(areas.get(other)).append("\"\naddress = \"").append(peerBind.get(other)).append("\"\n");
                }
            }
            text.append("\n[services]\ncloud = \"").append(cloud.address()).append("\"\nstate = \"");
            text.append(state.address()).append("\"\n\n").append(settings);
            Files.writeString(folder.resolve(node + ".toml"), text.toString());
        }
    }

    void startNode(String node) throws IOException {
        List<String> words = new ArrayList<>(command);
        words.add(folder.resolve(node + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Path logs = System.getenv("KEEP_LOGS") == null ? folder : Path.of(System.getenv("KEEP_LOGS"));
        builder.redirectError(
                ProcessBuilder.Redirect.appendTo(logs.resolve(node + ".log").toFile()));
        processes.put(node, builder.start());
        Log.line("controller " + node + " is started, process " + processes.get(node).pid());
    }

    void startNodes() throws IOException {
        for (String node : serveOn.keySet()) {
            startNode(node);
        }
    }

    /** Ends a controller with no signal that it could handle. */
    void killNode(String node) {
        Log.line("controller " + node + " is killed");
        Process process = processes.remove(node);
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isHealthy(String node) {
        return Http.send("GET", serveOn.get(node), "/healthz", null, 1000).status() == 200;
    }

    boolean awaitHealthy(double withinS) {
        return await(withinS, () -> serveOn.keySet().stream().allMatch(this::isHealthy));
    }

    static boolean await(double withinS, BooleanSupplier condition) {
        double until = Log.now() + withinS;
        while (Log.now() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Worker.sleep(50);
        }
        return condition.getAsBoolean();
    }

    /** Ends all processes and removes the temporary folder. */
    void end() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try (var files = Files.list(folder)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Nothing left to remove.
        }
        folder.toFile().delete();
    }

    // Users.

    /** Sends a request to one node after the other until one answers with a status that is not to be retried. */
    Http.Answer ask(String method, String path, String body, long timeoutMs, double forS) {
        double until = Log.now() + forS;
        Http.Answer answer = new Http.Answer(Http.NO_ANSWER, "");
        List<String> names = new ArrayList<>(serveOn.keySet());
        do {
            String node = names.get(Math.floorMod(turn++, names.size()));
            answer = Http.send(method, serveOn.get(node), path, body, timeoutMs);
            Log.line(method + " " + path + " at " + node + " -> " + answer.status() + " " + answer.body());
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400
                    || answer.status() == 404 || answer.status() == 422) {
                return answer;
            }
            Worker.sleep(1000);
        } while (Log.now() < until);
        return answer;
    }

    Http.Answer submit(Map<String, Object> job) {
        synchronized (jobs) {
            jobs.put((String) job.get("uid"), job);
        }
        String body = Json.write(job);
        Log.line("submission " + (body.length() > 1500 ? body.substring(0, 1500) + "..." : body));
        return ask("POST", "/v2/runs", body, 5000, 60);
    }

    /** Returns the condition that one poll of the job gives, or the status if it is not 200. */
    String poll(String uid) {
        Http.Answer answer = ask("GET", "/v2/runs/" + uid, null, 2000, 0);
        return answer.status() == 200
                ? (String) Json.object(answer.body()).get("condition")
                : String.valueOf(answer.status());
    }

    // The world as the workers see it.

    @Override
    public Map<String, Object> job(String uid) {
        synchronized (jobs) {
            return jobs.get(uid);
        }
    }

    @Override
    public double runSeconds(String job, int index, String machine) {
        return runTime.seconds(job, index, machine);
    }

    @Override
    public synchronized boolean isDone(String task) {
        return done.contains(task);
    }

    @Override
    public synchronized void onStart(String task, int attempt, Worker worker) {
        Log.line("START " + task + "#" + attempt + " on " + worker.name + " in " + worker.zone);
        Map<String, Integer> places = onMachines.computeIfAbsent(task, absent -> new TreeMap<>());
        if (!places.isEmpty()) {
            breakRule("ran_twice: " + task + " starts as #" + attempt + " on " + worker.name + " while it is on " + places);
        }
        checkPlace(task, worker);
        places.put(worker.name, attempt);
        zoneOf.put(worker.name, worker.zone);
    }

    /** Checks the zone, given the job's other tasks at that moment. */
    private void checkPlace(String task, Worker worker) {
        Map<String, Object> job = job(Worker.jobOf(task));
        if (Boolean.TRUE.equals(job.get("samePlace"))) {
            checkSamePlace(task, worker);
        }
        if (Boolean.TRUE.equals(job.get("scatter"))) {
            checkScatter(task, worker);
        }
    }

    private void checkSamePlace(String task, Worker worker) {
        onMachines.forEach((other, places) -> {
            if (!other.equals(task) && Worker.jobOf(other).equals(Worker.jobOf(task))) {
                places.keySet().forEach(machine -> {
                    if (!zoneOf.get(machine).equals(worker.zone)) {
                        breakRule("wrong_place: " + task + " of a job whose tasks must be in one zone starts in "
                                + worker.zone + " while " + other + " is on " + machine + " in " + zoneOf.get(machine));
                    }
                });
            }
        });
    }

    private void checkScatter(String task, Worker worker) {
        String uid = Worker.jobOf(task);
        long tasks = Json.integer(job(uid), "bottles");
        int there = onMachinesIn(uid, worker.zone);
        if (there + 1 > (tasks + 1) / 2) {
            breakRule("wrong_place: " + task + " starts in " + worker.zone + ", where " + there + " of the " + tasks
                    + " tasks of its job are already; at most " + (tasks + 1) / 2 + " may be in one zone");
        }
    }

    /** Returns how many tasks of the job are on machines in the zone. */
    synchronized int onMachinesIn(String uid, String zone) {
        int count = 0;
        for (Map.Entry<String, Map<String, Integer>> places : onMachines.entrySet()) {
            if (Worker.jobOf(places.getKey()).equals(uid)) {
                count += (int) places.getValue().keySet().stream()
                        .filter(machine -> zoneOf.get(machine).equals(zone))
                        .count();
            }
        }
        return count;
    }

    synchronized void breakRule(String text) {
        broken.add(text);
        if (broken.size() <= 10) {
            Log.line("RULE BROKEN " + text);
        }
    }

    @Override
    public synchronized void onLeft(String task, int attempt, Worker worker, String why) {
        Log.line("LEFT " + task + "#" + attempt + " on " + worker.name + ": " + why);
        left.put(worker.name, task);
        if (why.equals("done")) {
            done.add(task);
        }
        Map<String, Integer> places = onMachines.get(task);
        if (places != null && places.getOrDefault(worker.name, 0) == attempt) {
            places.remove(worker.name);
        }
    }

    /** Returns the machines that the task is on. */
    synchronized Set<String> machinesOf(String task) {
        return new TreeSet<>(onMachines.getOrDefault(task, Map.of()).keySet());
    }

    /** Returns the task that left the machine last, or null. */
    synchronized String lastLeft(String machine) {
        return left.get(machine);
    }

    synchronized boolean wasDone(String task) {
        return done.contains(task);
    }

    static Map<String, Object> batch(String uid, String team, String rank, int tasks, double cpus, double ramGb) {
        return Json.map(
                "uid", uid, "lot", "label-renders", "house", team, "style", "batch", "rank", rank, "bottles", (long) tasks,
                "vcpus", cpus, "gpus", 0.0, "ramGb", ramGb, "blend", "img-01", "pullGb", 0.5, "racks", null,
                "cellar", null, "samePlace", false, "scatter", false, "consignment", true, "maturingS", 60.0,
                "rackingS", 0.0, "corkingS", 0.0, "shipByS", null);
    }
}
