import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** A repeat of a launch that was carried out reaches its worker after the attempt was forgotten. */
final class RepeatedLaunch {
    private static final int MACHINES = 6;
    private static final String LOW = "wk-00001";
    private static final String HIGH = "wk-000002";

    private RepeatedLaunch() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Log.open(Path.of(args[0]));
        int result = 2;
        try {
            result = run(trouble);
        } catch (Exception e) {
            Log.line("the case could not run: " + e);
        }
        Log.line("result " + result);
        System.exit(result);
    }

    private static int run(boolean trouble) throws Exception {
        List<Map<String, Object>> racks = List.of(Json.map(
                "name", "vaike", "vcpus", 4L, "gpus", 0L, "ramGb", 16L, "cacheGb", 70L, "fetchGbPerS", 1.0,
                "hourly", 0.18, "marketPrice", 0.06, "readyS", 35L, "cellars", List.of("tallinn-a", "tallinn-b")));
        Deployment all = new Deployment(3, List.of("tallinn-a", "tartu"));
        all.runTime = (job, index, machine) -> job.startsWith(LOW) ? 300 : 20;
        all.state = new StateService(150, 30, 32, 16);
        all.cloud = new Cloud(
                racks, (name, rack, zone, spot) -> new Worker(name, rack, zone, spot, all, all.serveOn, 3, 29), 8, 4, 1);
        all.writeSettings(SETTINGS);
        for (int i = 0; i < MACHINES; i++) {
            all.cloud.add("vaike", i % 2 == 0 ? "tallinn-a" : "tallinn-b", true);
        }
        all.startNodes();
        if (!all.awaitHealthy(20)) {
            return unable("the controllers do not become healthy");
        }
        Worker.sleep(4000);
        // A job of one task on each machine, all of which may wait.
        for (int i = 0; i < MACHINES; i++) {
            if (all.submit(Deployment.batch(LOW + i, "opsvalve-00", "idle", 1, 4.0, 4.0)).status() != 201) {
                return unable("a job is not accepted");
            }
        }
        if (!Deployment.await(20, () -> IntStream.range(0, MACHINES).noneMatch(i -> all.machinesOf(LOW + i + "/0").isEmpty()))) {
            return unable("a job does not start");
        }
        Worker.sleep(1500);
        // Urgent work takes the place of one of them; the cloud has one more machine.
        Map<String, Object> urgent = Deployment.batch(HIGH, "opsvalve-01", "high", 1, 4.0, 4.0);
        if (all.submit(urgent).status() != 201) {
            return unable("the urgent job is not accepted");
        }
        if (!Deployment.await(30, () -> !all.machinesOf(HIGH + "/0").isEmpty())) {
            return unable("the urgent job does not start");
        }
        String place = all.machinesOf(HIGH + "/0").iterator().next();
        Worker first = all.cloud.workers().stream().filter(worker -> worker.name.equals(place)).findFirst().orElseThrow();
        String stopped = all.lastLeft(place);
        if (stopped == null || !stopped.startsWith(LOW)) {
            return unable("the urgent job did not take the place of another");
        }
        // The stopped task goes on elsewhere, under its second attempt, and the urgent one ends.
        if (!Deployment.await(45, () -> {
            var places = all.machinesOf(stopped);
            return !places.isEmpty() && !places.contains(first.name) && !first.holds(stopped, 1)
                    && all.wasDone(HIGH + "/0") && first.freeCpus() >= 4;
        })) {
            return unable("the stopped task does not go on elsewhere");
        }
        Worker.sleep(1000);
        Log.line("before: " + stopped + " is on " + all.machinesOf(stopped));
        List<String> owner = new ArrayList<>();
        if (trouble) {
            owner.add(first.steward());
            all.killNode(first.steward());
            Worker.sleep(500);
            if (!first.repeatLaunch(stopped, 1)) {
                return unable("the launch was not sent by a direct command");
            }
        }
        Worker.sleep(5000);
        for (String node : owner) {
            all.startNode(node);
        }
        Worker.sleep(10_000);
        all.poll(Worker.jobOf(stopped));
        all.poll(HIGH);
        Log.line("after: " + stopped + " is on " + all.machinesOf(stopped));
        Log.line("refusals of the state service: " + all.state.refused());
        return all.broken.isEmpty() ? 0 : 1;
    }

    private static int unable(String why) {
        Log.line("the case could not run: " + why);
        return 2;
    }

    static final String SETTINGS = String.join(
            "\n",
            "[settings]",
            "initial_size = 3",
            "zones = [\"parnu\", \"tallinn-a\", \"tallinn-b\", \"tartu\"]",
            "time_bound_ms = 5.0",
            "",
            "[[settings.teams]]",
            "name = \"opsvalve-00\"",
            "cpus = 32.0",
            "cpus_max = 96.0",
            "gpus = 0.0",
            "gpus_max = 0.0",
            "",
            "[[settings.teams]]",
            "name = \"opsvalve-01\"",
            "cpus = 32.0",
            "cpus_max = 96.0",
            "gpus = 0.0",
            "gpus_max = 0.0",
            "",
            "[[settings.objectives]]",
            "kind = \"guarantee\"",
            "within_s = 10.0",
            "share = 0.88",
            "",
            "[settings.workers]",
            "report_s = 3.0",
            "lease_s = 29.0",
            "gang_wait_s = 40.0",
            "gang_peer_s = 8.0",
            "cancel_s = 59.0",
            "",
            "[settings.state]",
            "rps = 150.0",
            "write_rps = 30.0",
            "value_kb = 32.0",
            "txn_ops = 16",
            "",
            "[settings.cloud]",
            "rps = 4.0",
            "list_lag_s = 4.0",
            "",
            "[settings.resources]",
            "cpu_share = 0.136",
            "ram_mb = 320.0",
            "max_sockets = 2500",
            "");
}
