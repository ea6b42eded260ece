import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The surroundings of a small deployment: state service, cloud, workers and users as stand-ins in this process, and the
 * controllers as processes of their own, started with the command of the deploy file. Writes what happens to a record.
 */
final class World2 implements AutoCloseable {
    /** A submitted job as its user uploaded it. */
    static final class Job {
        String uid;
        String team;
        int tasks;
        double cpus;
        String image;
        double pullGb;
        double runS;
        double savesEveryS;
        double savingS;
        List<String> awaits = List.of();
        boolean samePlace;
        boolean scatter;
        boolean spotAllowed;
        boolean fails;
        volatile boolean accepted;
        volatile boolean saidDone;
        volatile boolean saidAborted;
        volatile boolean cancelAsked;
        volatile long abortedToldAt;
        volatile String last = "";
        final Set<Integer> done = ConcurrentHashMap.newKeySet();
        final Map<Integer, Double> progress = new ConcurrentHashMap<>();
        Map<String, Object> body;
    }

    record Type(String name, double cpus, double ramGb, double fetchGbPerS, double bootS) {}

    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    final Path folder;
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Map<String, Worker2> workers = new ConcurrentHashMap<>();
    final List<Controller> controllers = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, Double> teamLimit = new HashMap<>();
    /** Machines on which each task is now. */
    private final Map<String, Set<String>> places = new HashMap<>();
    private final Map<String, Double> teamUse = new HashMap<>();
    final Random random;
    private final Random ports = new Random();
    State2 state;
    Cloud2 cloud;
    double reportS = 3;
    double leaseS = 31;
    double cancelS = 61;
    double listLagS = 6;
    double cloudRps = 10;
    String nextLimits = "";
    String operators;
    List<String> zones = List.of("kurume", "fukuoka", "saga");
    List<Type> types = List.of(new Type("taru", 16, 32, 0.15, 50));
    double fetchSpeedup = 1;
    int starts;

    /** One controller: its settings file, its entrances, and its process. */
    static final class Controller {
        String name;
        String zone;
        String address;
        String peerAddress;
        State2.Entrance state;
        Cloud2.Entrance cloud;
        Path settings;
        Process process;
        Path log;
    }

    World2(String recordFile, long seed) throws IOException {
        record = new PrintWriter(
                new BufferedWriter(new OutputStreamWriter(
                        Files.newOutputStream(Path.of(recordFile)), StandardCharsets.UTF_8)),
                true);
        folder = Files.createTempDirectory("review");
        random = new Random(seed);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Http2.start(() -> {
            Thread.sleep(Integer.getInteger("seconds", 118) * 1000L);
            say("the time of a case is over");
            endProcesses();
            Runtime.getRuntime().halt(2);
        });
    }

    long nowMs() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text);
    }

    void say(String text) {
        note(text);
        System.out.println(String.format(Locale.ROOT, "%8.3f ", nowMs() / 1000.0) + text);
    }

    synchronized void violation(String text) {
        violations.add(text);
        say("BROKEN " + text);
    }

    // What happens on machines, as the rules see it.

    synchronized void onStart(Worker2 worker, Job job, int task, int attempt) {
        starts++;
        String id = job.uid + "/" + task;
        note("start " + id + " try " + attempt + " on " + worker.name + " (" + worker.zone + ")");
        Set<String> on = places.computeIfAbsent(id, key -> new HashSet<>());
        if (!on.isEmpty()) {
            violation("ran_twice: " + id + " starts on " + worker.name + " while on " + on);
        }
        on.add(worker.name);
        double use = teamUse.merge(job.team, job.cpus, Double::sum);
        double limit = teamLimit.getOrDefault(job.team, 0.0);
        if (limit > 0 && use > limit + 1e-6) {
            violation("quota: " + job.team + " uses " + use + " of " + limit);
        }
        if (worker.spot && !job.spotAllowed) {
            violation("wrong_place: " + id + " on spot machine");
        }
        if (job.abortedToldAt > 0 && nowMs() - job.abortedToldAt > cancelS * 1000) {
            violation("ran_cancelled: " + id + " starts " + (nowMs() - job.abortedToldAt) + " ms after the answer");
        }
        for (String other : job.awaits) {
            Job needed = jobs.get(other);
            if (needed != null && needed.done.size() < needed.tasks) {
                violation("too_early: " + id + " before " + other);
            }
        }
        if (job.samePlace || job.scatter) {
            Map<String, Integer> count = new TreeMap<>();
            for (int i = 0; i < job.tasks; i++) {
                for (String machine : places.getOrDefault(job.uid + "/" + i, Set.of())) {
                    count.merge(workers.get(machine).zone, 1, Integer::sum);
                }
            }
            if (job.samePlace && count.size() > 1) {
                violation("wrong_place: same place " + job.uid + " " + count);
            }
            if (job.scatter && count.get(worker.zone) > (job.tasks + 1) / 2) {
                violation("wrong_place: scatter " + job.uid + " " + count);
            }
        }
    }

    synchronized void onEnd(Worker2 worker, Job job, int task, int attempt, String why) {
        note("end " + job.uid + "/" + task + " try " + attempt + " on " + worker.name + ": " + why);
        Set<String> on = places.get(job.uid + "/" + task);
        if (on != null && on.remove(worker.name)) {
            teamUse.merge(job.team, -job.cpus, Double::sum);
        }
        if (why.equals("done")) {
            job.done.add(task);
        }
    }

    synchronized int running(String uid) {
        int count = 0;
        for (Map.Entry<String, Set<String>> entry : places.entrySet()) {
            if (entry.getKey().startsWith(uid + "/")) {
                count += entry.getValue().size();
            }
        }
        return count;
    }

    /** Checks for tasks that are on a machine too long after their cancellation was confirmed. */
    synchronized void checkCancelled() {
        for (Job job : jobs.values()) {
            if (job.abortedToldAt > 0 && nowMs() - job.abortedToldAt > cancelS * 1000 && running(job.uid) > 0) {
                violation("ran_cancelled: " + job.uid + " has " + running(job.uid) + " tasks "
                        + (nowMs() - job.abortedToldAt) + " ms after the answer");
                job.abortedToldAt = nowMs();
            }
        }
    }

    // Controllers.

    /** Returns a free port below the range from which the system takes those of outgoing connections. */
    private int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + ports.nextInt(18_000);
            try (java.net.ServerSocket socket =
                    new java.net.ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // Another process listens there.
            }
        }
        throw new IOException("no free port");
    }

    void addControllers(int count, String teams) throws IOException {
        for (int i = 0; i < count; i++) {
            Controller controller = new Controller();
            controller.name = "cask-" + i;
            controller.zone = zones.get(i % zones.size());
            controller.address = "127.0.0.1:" + freePort();
            controller.peerAddress = "127.0.0.1:" + freePort();
            controller.state = state.entrance();
            controller.cloud = cloud.entrance();
            controller.log = folder.resolve(controller.name + ".log");
            controllers.add(controller);
        }
        for (Controller controller : controllers) {
            StringBuilder text = new StringBuilder();
            text.append("node_name = \"").append(controller.name).append("\"\narea = \"").append(controller.zone);
            text.append("\"\nserve_on = \"").append(controller.address);
            text.append("\"\npeer_bind = \"").append(controller.peerAddress).append("\"\n");
            for (Controller other : controllers) {
                if (other != controller) {
                    text.append("[[known]]\nnode_name = \"").append(other.name);
                    text.append("\"\narea = \"").append(other.zone);
                    text.append("\"\naddress = \"").append(other.peerAddress).append("\"\n");
                }
            }
            text.append("[services]\ncloud = \"").append(controller.cloud.address);
            text.append("\"\nstate = \"").append(controller.state.address).append("\"\n");
            text.append("[settings]\ninitial_size = ").append(count).append("\nzones = [");
            text.append(String.join(", ", zones.stream().map(zone -> "\"" + zone + "\"").toList()));
            text.append("]\ntime_bound_ms = 25.0\n").append(teams);
            text.append("[settings.workers]\nreport_s = ").append(reportS).append("\nlease_s = ").append(leaseS);
            text.append("\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = ").append(cancelS);
            text.append("\n[settings.state]\nrps = ").append(state.rps).append("\nwrite_rps = ").append(state.writeRps);
            text.append("\nvalue_kb = ").append(state.valueBytes / 1024.0).append("\ntxn_ops = ").append(state.txnOps);
            text.append("\n").append(nextLimits);
            text.append("[settings.cloud]\nrps = ").append(cloudRps).append("\nlist_lag_s = ").append(listLagS);
            text.append("\n[settings.resources]\ncpu_share = 0.34\nram_mb = 320.0\nmax_sockets = 2500\n");
            controller.settings = folder.resolve(controller.name + ".toml");
            Files.writeString(controller.settings, text);
        }
    }

    static String team(String name, double cpus, double most) {
        return "[[settings.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + most
                + "\ngpus = 0.0\ngpus_max = 0.0\n";
    }

    /** Starts a controller with the command of the deploy file. */
    void start(Controller controller) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(controller.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getProperty("level", "info"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(controller.log.toFile()));
        controller.process = builder.start();
        say("started " + controller.name + " as process " + controller.process.pid());
    }

    void kill(Controller controller) throws InterruptedException {
        say("killing " + controller.name);
        controller.process.destroyForcibly();
        controller.process.waitFor();
    }

    /** Sends STOP or CONT to a controller that this test started. */
    void signal(Controller controller, String signal) throws Exception {
        say(signal + " to " + controller.name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(controller.process.pid())).start().waitFor();
    }

    boolean healthy(Controller controller) {
        return Http2.call(controller.address, "GET", "/healthz", null, 1000).status() == 200;
    }

    boolean awaitHealthy(int timeoutS) throws InterruptedException {
        long until = nowMs() + timeoutS * 1000L;
        while (nowMs() < until) {
            if (controllers.stream().allMatch(this::healthy)) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    Controller byAddress(String address) {
        return controllers.stream().filter(c -> c.address.equals(address)).findFirst().orElseThrow();
    }

    // Users.

    Job job(String uid, String team, int tasks, double cpus, double runS) {
        Job job = new Job();
        job.uid = uid;
        job.team = team;
        job.tasks = tasks;
        job.cpus = cpus;
        job.runS = runS;
        job.image = "img-1";
        job.pullGb = 0.3;
        job.spotAllowed = true;
        return job;
    }

    Map<String, Object> body(Job job, String rank) {
        job.body = Json2.of(
                "uid", job.uid, "lot", "proofs", "house", job.team, "style", "batch", "rank", rank, "bottles",
                (long) job.tasks, "vcpus", job.cpus, "gpus", 0.0, "ramGb", 1.0, "blend", job.image, "pullGb", job.pullGb,
                "racks", null, "cellar", null, "samePlace", job.samePlace, "scatter", job.scatter, "consignment",
                job.spotAllowed, "maturingS", job.runS, "rackingS", job.savesEveryS, "corkingS", job.savingS, "shipByS",
                null);
        if (!job.awaits.isEmpty()) {
            job.body.put("awaits", job.awaits);
        }
        return job.body;
    }

    /** Submits once; returns the status. */
    int submitOnce(Job job, Controller to) {
        jobs.put(job.uid, job);
        Http2.Answer answer = Http2.call(to.address, "POST", "/v2/runs", Json2.write(job.body), 5000);
        note("submit " + job.uid + " to " + to.name + ": " + answer.status() + " " + answer.body());
        check(job, answer, true);
        return answer.status();
    }

    /** Submits as a user does: again after a refusal, for up to 60 s, each time to another node. */
    boolean submit(Job job) throws InterruptedException {
        long until = nowMs() + 60_000;
        int i = random.nextInt(controllers.size());
        while (nowMs() < until) {
            int status = submitOnce(job, controllers.get(i++ % controllers.size()));
            if (status == 200 || status == 201) {
                return true;
            }
            if (status == 400 || status == 422) {
                return false;
            }
            Thread.sleep(1000);
        }
        return false;
    }

    Http2.Answer poll(Job job, Controller at) {
        Http2.Answer answer = Http2.call(at.address, "GET", "/v2/runs/" + job.uid, null, 2000);
        note("poll " + job.uid + " at " + at.name + ": " + answer.status() + " " + answer.body());
        check(job, answer, false);
        return answer;
    }

    Http2.Answer cancel(Job job, Controller at) {
        job.cancelAsked = true;
        Http2.Answer answer = Http2.call(at.address, "POST", "/v2/runs/" + job.uid + "/abort", "", 5000);
        note("abort " + job.uid + " at " + at.name + ": " + answer.status() + " " + answer.body());
        check(job, answer, false);
        return answer;
    }

    private synchronized void check(Job job, Http2.Answer answer, boolean submission) {
        if (answer.status() == 404 && job.accepted) {
            violation("forgotten: " + job.uid + " gets 404");
        }
        if (submission && job.accepted && (answer.status() == 400 || answer.status() == 422)) {
            violation("forgotten: accepted " + job.uid + " gets " + answer.status());
        }
        if (answer.status() != 200 && answer.status() != 201) {
            return;
        }
        job.accepted = true;
        String condition = (String) Json2.object(answer.body()).get("condition");
        job.last = condition;
        if (job.saidDone && !condition.equals("done") || job.saidAborted && !condition.equals("aborted")) {
            violation("went_back: " + job.uid + " is called " + condition);
        }
        if (condition.equals("done")) {
            job.saidDone = true;
            if (job.done.size() < job.tasks) {
                violation("not_done: " + job.uid + " with " + job.done.size() + " of " + job.tasks);
            }
        } else if (condition.equals("aborted")) {
            if (!job.saidAborted) {
                job.abortedToldAt = nowMs();
            }
            job.saidAborted = true;
        }
    }

    // Machines.

    Worker2 addMachine(String type, String zone, boolean spot) throws IOException {
        return cloud.boot(type, zone, spot, 0);
    }

    void endProcesses() {
        for (Controller controller : controllers) {
            if (controller.process != null && controller.process.isAlive()) {
                controller.process.destroyForcibly();
                try {
                    controller.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Returns the lines of the controllers' logs that contain the text. */
    List<String> logLines(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (Controller controller : controllers) {
            if (Files.exists(controller.log)) {
                for (String line : Files.readAllLines(controller.log)) {
                    if (line.contains(text)) {
                        found.add(controller.name + ": " + line);
                    }
                }
            }
        }
        return found;
    }

    @Override
    public void close() {
        endProcesses();
        if (System.getProperty("keep") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                note("the temporary folder was not removed: " + e);
            }
        } else {
            System.out.println("kept " + folder);
        }
        record.flush();
    }

    static Map<String, Object> copy(Map<String, Object> map) {
        return new LinkedHashMap<>(map);
    }
}
