import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** One machine's worker, as PROTOCOL describes it. It is reached through a relay that can send a late copy of a command. */
final class Worker {
    /** What the world tells and asks: descriptions of jobs, run times, and who starts and ends where. */
    interface World {
        Map<String, Object> job(String uid);

        double runSeconds(String job, int index, String machine);

        boolean isDone(String task);

        void onStart(String task, int attempt, Worker worker);

        void onLeft(String task, int attempt, Worker worker, String why);
    }

    private static final class Task {
        final String bottle;
        final int attempt;
        String condition;
        String fault;
        double endsAt;
        boolean onMachine;

        Task(String bottle, int attempt) {
            this.bottle = bottle;
            this.attempt = attempt;
        }
    }

    final String name;
    final String type;
    final String zone;
    final boolean spot;
    private final Map<String, Object> rack;
    private final World world;
    private final Map<String, String> nodes;
    private final double reportS;
    private final double leaseS;
    private final HttpServer server;
    private final HttpServer relay;
    private final Random random = new Random(7);
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new TreeSet<>();
    private final List<String> commandsSeen = new ArrayList<>();
    private long pour = 1;
    private long tally;
    private long seal;
    private double leaseFrom = Log.now();
    private double reportedAt = -100;
    private double nextReport;
    private boolean changed = true;
    private int node;
    private String steward;
    private volatile boolean gone;

    Worker(
            String name,
            Map<String, Object> rack,
            String zone,
            boolean spot,
            World world,
            Map<String, String> nodes,
            double reportS,
            double leaseS)
            throws IOException {
        this.name = name;
        this.rack = rack;
        this.type = (String) rack.get("name");
        this.zone = zone;
        this.spot = spot;
        this.world = world;
        this.nodes = nodes;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.node = Math.floorMod(name.hashCode(), nodes.size());
        this.server = Http.serve(this::handle);
        this.relay = Http.serve(this::relayed);
    }

    String address() {
        return Http.address(relay);
    }

    void start() {
        leaseFrom = Log.now();
        Http.THREADS.execute(this::reportLoop);
        Http.THREADS.execute(this::taskLoop);
    }

    /** The machine is gone with all that is on it. */
    synchronized void stop(String why) {
        if (!gone) {
            gone = true;
            List.copyOf(tasks.values()).forEach(task -> leave(task, why));
            tasks.clear();
            server.stop(0);
            relay.stop(0);
        }
    }

    /** Returns true if the machine is up and a controller answers its reports. */
    boolean isUp() {
        return !gone && steward() != null;
    }

    /** Returns the name of the node that answered the latest report with 200, or null. */
    synchronized String steward() {
        return steward;
    }

    synchronized double freeCpus() {
        double used = 0;
        for (Task task : tasks.values()) {
            if (!task.condition.equals("ended")) {
                used += Json.number(world.job(jobOf(task.bottle)), "vcpus");
            }
        }
        return Json.number(rack, "vcpus") - used;
    }

    /** Returns true if the worker holds the attempt in any state. */
    synchronized boolean holds(String bottle, int attempt) {
        return tasks.containsKey(bottle + "#" + attempt);
    }

    // The relay: passes requests on, and remembers commands that were carried out.

    private Http.Answer relayed(String method, String path, String query, String body) {
        Http.Answer answer = Http.send(method, Http.address(server), path, body.isEmpty() ? null : body, 10_000);
        if (path.equals("/do")) {
            Log.line("command to " + name + " " + body + " -> " + answer.status());
            if (answer.status() == 200) {
                synchronized (commandsSeen) {
                    commandsSeen.add(body);
                }
            }
        }
        return answer.status() == Http.NO_ANSWER ? null : answer;
    }

    /** Sends again a command that was carried out and launched the attempt; returns false if there was none. */
    boolean repeatLaunch(String bottle, int attempt) {
        String wanted = "{\"order\":\"launch\",\"bottle\":\"" + bottle + "\",\"try\":" + attempt + "}";
        synchronized (commandsSeen) {
            for (String body : commandsSeen) {
                if (body.contains(wanted)) {
                    Log.line("a repeat of a command that was carried out reaches " + name + ": " + body);
                    Http.Answer answer = Http.send("POST", Http.address(server), "/do", body, 5000);
                    Log.line("the worker answers the repeat with " + answer.status() + " " + answer.body());
                    return true;
                }
            }
        }
        return false;
    }

    // Requests of controllers.

    private synchronized Http.Answer handle(String method, String path, String query, String body) {
        if (gone) {
            return null;
        }
        if (path.equals("/show")) {
            return new Http.Answer(200, Json.write(report()));
        }
        Map<String, Object> request = Json.object(body);
        if (request.get("seal") == null || request.get("pour") == null) {
            return new Http.Answer(400, "{}");
        }
        expireLease();
        long token = Json.integer(request, "seal");
        if (token < seal || Json.integer(request, "pour") != pour) {
            return new Http.Answer(409, Json.write(report()));
        }
        seen(token);
        Json.objects(request.get("orders")).forEach(this::execute);
        return new Http.Answer(200, Json.write(report()));
    }

    private void seen(long token) {
        if (token > seal) {
            seal = token;
            changed = true;
        }
    }

    private void execute(Map<String, Object> order) {
        String bottle = (String) order.get("bottle");
        int attempt = (int) Json.integer(order, "try");
        String id = bottle + "#" + attempt;
        Task held = tasks.get(id);
        switch ((String) order.get("order")) {
            case "launch" -> {
                if (held == null) {
                    launch(bottle, attempt);
                }
            }
            case "stop" -> {
                if (held != null && !held.condition.equals("ended")) {
                    end(held, "stopped");
                }
            }
            case "forget" -> {
                if (held != null && held.condition.equals("ended")) {
                    tasks.remove(id);
                    changed = true;
                    Log.line(name + " forgets " + id);
                }
            }
            default -> throw new IllegalArgumentException("unknown order");
        }
    }

    private void launch(String bottle, int attempt) {
        Task task = new Task(bottle, attempt);
        Map<String, Object> job = world.job(jobOf(bottle));
        boolean busy = tasks.values().stream()
                .anyMatch(other -> other.bottle.equals(bottle) && !other.condition.equals("ended"));
        changed = true;
        if (job == null) {
            task.condition = "ended";
            task.fault = "no_such";
        } else if (busy) {
            task.condition = "ended";
            task.fault = "busy";
        } else if (freeCpus() < Json.number(job, "vcpus") - 1e-9) {
            task.condition = "ended";
            task.fault = "full";
        } else {
            task.condition = "pulling";
            boolean cached = images.contains(job.get("blend"));
            task.endsAt = Log.now()
                    + (cached ? 0 : Json.number(job, "pullGb") / Json.number(rack, "fetchGbPerS"));
        }
        tasks.put(bottle + "#" + attempt, task);
        Log.line(name + " gets a launch of " + bottle + "#" + attempt
                + (task.fault == null ? "" : ", refused: " + task.fault));
        advance(task);
    }

    private void end(Task task, String fault) {
        task.condition = "ended";
        task.fault = fault;
        changed = true;
        leave(task, fault);
    }

    private void leave(Task task, String why) {
        if (task.onMachine) {
            task.onMachine = false;
            world.onLeft(task.bottle, task.attempt, this, why);
        }
    }

    private void advance(Task task) {
        if (task.condition.equals("pulling") && Log.now() >= task.endsAt) {
            images.add((String) world.job(jobOf(task.bottle)).get("blend"));
            task.condition = "running";
            task.onMachine = true;
            changed = true;
            world.onStart(task.bottle, task.attempt, this);
            task.endsAt = world.isDone(task.bottle)
                    ? Log.now()
                    : Log.now() + world.runSeconds(jobOf(task.bottle), indexOf(task.bottle), name);
        }
        if (task.condition.equals("running") && Log.now() >= task.endsAt) {
            end(task, "done");
        }
    }

    static String jobOf(String bottle) {
        return bottle.substring(0, bottle.lastIndexOf('/'));
    }

    static int indexOf(String bottle) {
        return Integer.parseInt(bottle.substring(bottle.lastIndexOf('/') + 1));
    }

    private void expireLease() {
        if (Log.now() - leaseFrom > leaseS) {
            Log.line("the lease of " + name + " ends, its tasks are killed");
            List.copyOf(tasks.values()).forEach(task -> leave(task, "lease ended"));
            tasks.clear();
            pour++;
            leaseFrom = Log.now();
            changed = true;
        }
    }

    private void taskLoop() {
        while (!gone) {
            synchronized (this) {
                if (!gone) {
                    expireLease();
                    List.copyOf(tasks.values()).forEach(this::advance);
                }
            }
            sleep(10);
        }
    }

    // Reports.

    private Map<String, Object> report() {
        tally++;
        List<Object> bottles = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> bottle =
                    Json.map("bottle", task.bottle, "try", task.attempt, "condition", task.condition);
            if (task.fault != null) {
                bottle.put("fault", task.fault);
            }
            bottles.add(bottle);
        }
        return Json.map(
                "cask", name, "address", address(), "rack", type, "cellar", zone, "consignment", spot,
                "pour", pour, "tally", tally, "seal", seal, "recallS", null, "bottles", bottles);
    }

    private void reportLoop() {
        List<String> names = new ArrayList<>(nodes.keySet());
        while (!gone) {
            String body;
            long session;
            double sentAt = Log.now();
            synchronized (this) {
                boolean due = sentAt >= nextReport || (changed && sentAt - reportedAt >= 0.5);
                if (!due || gone) {
                    body = null;
                    session = 0;
                } else {
                    changed = false;
                    reportedAt = sentAt;
                    nextReport = sentAt + reportS * (0.75 + 0.5 * random.nextDouble());
                    session = pour;
                    body = Json.write(report());
                }
            }
            if (body == null) {
                sleep(10);
                continue;
            }
            String to = names.get(node);
            Http.Answer answer = Http.send("POST", nodes.get(to), "/v1/report", body, 4000);
            if (answer.status() == 200) {
                answered(to, session, sentAt, Json.object(answer.body()));
            } else {
                moveOn(to, names, answer);
            }
        }
    }

    private synchronized void answered(String from, long session, double sentAt, Map<String, Object> answer) {
        steward = from;
        long token = Json.integer(answer, "seal");
        if (gone || session != pour || answer.get("seal") == null || token < seal) {
            return;
        }
        expireLease();
        if (session != pour) {
            return;
        }
        leaseFrom = Math.max(leaseFrom, sentAt);
        seen(token);
        Json.objects(answer.get("orders")).forEach(order -> {
            if (!order.get("order").equals("forget")) {
                Log.line("in its answer to " + name + ", " + from + " orders " + Json.write(order) + ", token " + token);
            }
            execute(order);
        });
    }

    private void moveOn(String from, List<String> names, Http.Answer answer) {
        String other = null;
        if (answer.status() == 421 && !answer.body().isEmpty()) {
            other = (String) Json.object(answer.body()).get("steward");
        }
        if (other != null && !other.equals(from) && names.contains(other)) {
            node = names.indexOf(other);
            sleep(random.nextInt(500));
        } else {
            node = (node + 1) % names.size();
            sleep(1000);
        }
        synchronized (this) {
            nextReport = 0;
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
