import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A stand-in of a machine and its worker. */
final class Worker2 {
    private static final class Task {
        World2.Job job;
        int index;
        int attempt;
        String condition;
        String fault;
        boolean kept;
        double ranS;
        long since;
        long savesUntil;
    }

    final World2 world;
    final String name;
    final World2.Type type;
    final String zone;
    final boolean spot;
    final String address;
    long pour = 1;
    long tally;
    long seal;
    volatile boolean alive = true;
    /** While true, the machine stands still. */
    volatile boolean hangs;
    /** While true, nothing passes between the machine and the controllers; commands are held. */
    volatile boolean cut;
    volatile Double recallS;
    volatile boolean sick;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Map<String, Long> fetching = new LinkedHashMap<>();
    private long leaseFrom;
    private int node;
    private boolean changed;
    private long lastReportAt;

    Worker2(World2 world, String name, World2.Type type, String zone, boolean spot) throws IOException {
        this.world = world;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.address = Http2.serve(this::serve);
        this.leaseFrom = world.nowMs();
        this.node = world.random.nextInt(Math.max(1, world.controllers.size()));
    }

    void begin() {
        Http2.start(this::reportLoop);
        Http2.start(this::runLoop);
    }

    /** The machine is gone with all that is on it. */
    synchronized void terminate(String why) {
        if (alive) {
            alive = false;
            killAll(why);
        }
    }

    private void killAll(String why) {
        for (Task task : tasks.values()) {
            if (task.condition.equals("running") || task.condition.equals("saving")) {
                world.onEnd(this, task.job, task.index, task.attempt, why);
            }
        }
        tasks.clear();
    }

    private void waitWhileStill() throws InterruptedException {
        while (alive && hangs) {
            Thread.sleep(20);
        }
        if (!alive) {
            throw new InterruptedException();
        }
    }

    private synchronized void checkLease() {
        if (world.nowMs() - leaseFrom > world.leaseS * 1000) {
            world.note(name + ": lease expired, " + tasks.size() + " tasks killed, session " + (pour + 1));
            killAll("lease");
            pour++;
            tally = 0;
            leaseFrom = world.nowMs();
            changed = true;
        }
    }

    private void runLoop() throws Exception {
        while (alive) {
            Thread.sleep(50);
            waitWhileStill();
            synchronized (this) {
                checkLease();
                step();
            }
        }
    }

    private void step() {
        long now = world.nowMs();
        fetching.keySet().removeIf(image -> tasks.values().stream()
                .noneMatch(task -> task.condition.equals("pulling") && task.job.image.equals(image)));
        for (Task task : new ArrayList<>(tasks.values())) {
            if (task.condition.equals("pulling")) {
                String image = task.job.image;
                if (!images.contains(image)) {
                    long ms = (long) (1000 * task.job.pullGb / (type.fetchGbPerS() * world.fetchSpeedup));
                    if (now < fetching.computeIfAbsent(image, key -> now + ms)) {
                        continue;
                    }
                    images.add(image);
                }
                task.condition = "running";
                task.since = now;
                changed = true;
                world.onStart(this, task.job, task.index, task.attempt);
                if (task.job.done.contains(task.index)) {
                    finish(task, "done");
                } else if (sick || task.job.fails) {
                    finish(task, "error");
                }
            } else if (task.condition.equals("running")) {
                double ran = (now - task.since) / 1000.0;
                double before = task.job.progress.getOrDefault(task.index, 0.0);
                if (before + ran >= task.job.runS) {
                    finish(task, "done");
                }
            } else if (task.condition.equals("saving") && now >= task.savesUntil) {
                task.job.progress.merge(task.index, task.ranS, Double::sum);
                task.kept = true;
                finish(task, "stopped");
            }
        }
    }

    private void finish(Task task, String fault) {
        task.condition = "ended";
        task.fault = fault;
        changed = true;
        world.onEnd(this, task.job, task.index, task.attempt, fault);
    }

    private synchronized String report() {
        tally++;
        List<Object> bottles = new ArrayList<>();
        for (Map.Entry<String, Task> entry : tasks.entrySet()) {
            Task task = entry.getValue();
            Map<String, Object> bottle = Json2.of(
                    "bottle", entry.getKey().split(" ")[0], "try", (long) task.attempt, "condition", task.condition);
            if (task.fault != null) {
                bottle.put("fault", task.fault);
                if (task.kept) {
                    bottle.put("kept", true);
                }
            }
            bottles.add(bottle);
        }
        return Json2.write(Json2.of(
                "cask", name, "address", address, "rack", type.name(), "cellar", zone, "consignment", spot, "pour", pour,
                "tally", tally, "seal", seal, "recallS", recallS, "bottles", bottles));
    }

    private void reportLoop() throws Exception {
        while (alive) {
            waitWhileStill();
            long sentAt;
            long session;
            String body;
            synchronized (this) {
                checkLease();
                changed = false;
                session = pour;
                sentAt = world.nowMs();
                body = report();
            }
            lastReportAt = sentAt;
            World2.Controller to = world.controllers.get(node % world.controllers.size());
            Http2.Answer answer = cut ? unanswered() : Http2.call(to.address, "POST", "/v1/report", body, 4000);
            waitWhileStill();
            if (cut || world.nowMs() - sentAt > 4000) {
                answer = new Http2.Answer(-1, "late");
            }
            if (answer.status() == 200) {
                synchronized (this) {
                    checkLease();
                    Map<String, Object> response = Json2.object(answer.body());
                    long token = Json2.integer(response.get("seal"));
                    if (session == pour && token >= seal && token > 0) {
                        seal = token;
                        leaseFrom = sentAt;
                        execute(Json2.list(response.get("orders")), to.name + " answer");
                    } else {
                        world.note(name + " drops an answer of " + to.name + " with " + token + " below " + seal);
                    }
                }
                long next = sentAt + (long) (world.reportS * 1000 * (0.75 + 0.5 * world.random.nextDouble()));
                while (alive && world.nowMs() < next && !(changed && world.nowMs() >= sentAt + 500)) {
                    Thread.sleep(20);
                }
            } else if (answer.status() == 421 && answer.body().contains("steward")) {
                String steward = (String) Json2.object(answer.body()).get("steward");
                int next = node;
                for (int i = 0; i < world.controllers.size(); i++) {
                    if (world.controllers.get(i).name.equals(steward)) {
                        next = i;
                    }
                }
                if (next % world.controllers.size() == node % world.controllers.size()) {
                    node++;
                    Thread.sleep(1000);
                } else {
                    node = next;
                    Thread.sleep(500);
                }
            } else {
                node++;
                Thread.sleep(1000);
            }
        }
    }

    private Http2.Answer unanswered() throws InterruptedException {
        Thread.sleep(4000);
        return new Http2.Answer(-1, "cut");
    }

    private Http2.Answer serve(String method, String path, Map<String, String> query, String body) throws Exception {
        boolean wasCut = cut;
        while (alive && (hangs || cut)) {
            Thread.sleep(20);
        }
        if (!alive) {
            return new Http2.Answer(0, "");
        }
        synchronized (this) {
            checkLease();
            if (path.equals("/do")) {
                Map<String, Object> request = Json2.object(body);
                long token = Json2.integer(request.get("seal"));
                if (token < seal || Json2.integer(request.get("pour")) != pour) {
                    return new Http2.Answer(wasCut ? 0 : 409, report());
                }
                if (token > seal) {
                    seal = token;
                    changed = true;
                }
                execute(Json2.list(request.get("orders")), wasCut ? "late command" : "command");
            }
            return new Http2.Answer(wasCut ? 0 : 200, report());
        }
    }

    private void execute(List<Object> orders, String by) {
        for (Object element : orders) {
            Map<String, Object> order = Json2.map(element);
            String bottle = (String) order.get("bottle");
            int attempt = (int) Json2.integer(order.get("try"));
            String key = bottle + " " + attempt;
            String action = (String) order.get("order");
            world.note(name + " " + action + " " + key + " seal " + seal + " by " + by);
            if (action.equals("launch")) {
                launch(bottle, attempt, key);
            } else if (action.equals("stop")) {
                stop(tasks.get(key), ((Number) order.get("restS")).doubleValue());
            } else if (action.equals("forget")) {
                Task task = tasks.get(key);
                if (task != null && task.condition.equals("ended")) {
                    tasks.remove(key);
                }
            }
        }
    }

    private void launch(String bottle, int attempt, String key) {
        if (tasks.containsKey(key)) {
            return;
        }
        int slash = bottle.lastIndexOf('/');
        Task task = new Task();
        task.job = world.jobs.get(bottle.substring(0, slash));
        task.index = Integer.parseInt(bottle.substring(slash + 1));
        task.attempt = attempt;
        task.condition = "pulling";
        double used = 0;
        boolean busy = false;
        for (Map.Entry<String, Task> entry : tasks.entrySet()) {
            if (!entry.getValue().condition.equals("ended")) {
                used += entry.getValue().job.cpus;
                busy |= entry.getKey().startsWith(bottle + " ");
            }
        }
        changed = true;
        if (task.job == null) {
            task.condition = "ended";
            task.fault = "no_such";
        } else if (busy) {
            task.condition = "ended";
            task.fault = "busy";
        } else if (used + task.job.cpus > type.cpus() + 1e-9) {
            task.condition = "ended";
            task.fault = "full";
        }
        if (task.fault != null) {
            world.note(name + " refuses " + key + ": " + task.fault);
        }
        tasks.put(key, task);
    }

    private void stop(Task task, double restS) {
        if (task == null || task.condition.equals("ended")) {
            return;
        }
        changed = true;
        if (task.condition.equals("pulling")) {
            task.condition = "ended";
            task.fault = "stopped";
        } else if (task.condition.equals("running") && task.job.savesEveryS > 0 && restS >= task.job.savingS) {
            task.condition = "saving";
            task.ranS = (world.nowMs() - task.since) / 1000.0;
            task.savesUntil = world.nowMs() + (long) (1000 * task.job.savingS);
        } else {
            finish(task, "stopped");
        }
    }
}
