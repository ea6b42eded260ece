import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Smaller limits of the state service are announced while a job that must be spread over zones runs. */
final class ScatterSplit {
    private static final String JOB = "wk-000101";
    private static final int TASKS = 600;

    private ScatterSplit() {}

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
                "name", "taru", "vcpus", 16L, "gpus", 0L, "ramGb", 32L, "cacheGb", 70L, "fetchGbPerS", 1.0,
                "hourly", 0.64, "marketPrice", 0.24, "readyS", 50L, "cellars", List.of("kurume", "fukuoka", "saga")));
        Deployment all = new Deployment(3, List.of("kurume", "fukuoka", "saga"));
        all.runTime = (job, index, machine) -> 300;
        all.state = new StateService(250, 100, 16, 48);
        all.cloud = new Cloud(
                racks, (name, rack, zone, spot) -> new Worker(name, rack, zone, spot, all, all.serveOn, 5, 31), 50, 6, 0);
        all.writeSettings(settings(""));
        for (int i = 0; i < 21; i++) {
            all.cloud.add("taru", i < 18 ? "kurume" : "fukuoka", true);
        }
        all.startNodes();
        if (!all.awaitHealthy(20)) {
            return unable("the controllers do not become healthy");
        }
        Worker.sleep(6000);
        Map<String, Object> job = Deployment.batch(JOB, "kurabito", "standard", TASKS, 0.25, 0.25);
        job.put("scatter", true);
        job.put("maturingS", 240.0);
        if (all.submit(job).status() != 201) {
            return unable("the job is not accepted");
        }
        Worker.sleep(10_000);
        Log.line("before: " + all.onMachinesIn(JOB, "kurume") + " tasks in kurume, " + all.onMachinesIn(JOB, "fukuoka")
                + " in fukuoka, " + all.onMachinesIn(JOB, "saga") + " in saga");
        if (all.onMachinesIn(JOB, "kurume") == 0) {
            return unable("the job does not start");
        }
        if (trouble) {
            all.writeSettings(settings(String.join(
                    "\n", "[settings.state.next]", "rps = 250.0", "write_rps = 70.0", "value_kb = 2.0", "txn_ops = 16", "")));
            for (String node : all.serveOn.keySet()) {
                double from = Log.now();
                all.killNode(node);
                Worker.sleep(4000);
                all.startNode(node);
                if (!Deployment.await(10, () -> all.isHealthy(node))) {
                    return unable(node + " does not become healthy");
                }
                Worker.sleep((long) Math.max(0, (from + 15 - Log.now()) * 1000));
            }
            Log.line("the state service lowers its limits");
            all.state.setLimits(70, 2, 16);
        } else {
            Worker.sleep(45_000);
        }
        Worker.sleep(10_000);
        Log.line("after: " + all.onMachinesIn(JOB, "kurume") + " tasks in kurume, " + all.onMachinesIn(JOB, "fukuoka")
                + " in fukuoka, " + all.onMachinesIn(JOB, "saga") + " in saga");
        all.state.snapshot("dewlane/slice/").forEach((key, value) -> Log.line(key + " " + Json.write(value)));
        all.poll(JOB);
        Log.line("refusals of the state service: " + all.state.refused());
        Log.line("starts that broke the rule: " + all.broken.size());
        return all.broken.isEmpty() ? 0 : 1;
    }

    private static int unable(String why) {
        Log.line("the case could not run: " + why);
        return 2;
    }

    static String settings(String next) {
        return String.join(
                "\n",
                "[settings]",
                "initial_size = 3",
                "zones = [\"kurume\", \"fukuoka\", \"saga\"]",
                "time_bound_ms = 5.0",
                "",
                "[[settings.teams]]",
                "name = \"kurabito\"",
                "",
                "[settings.workers]",
                "report_s = 5.0",
                "lease_s = 31.0",
                "gang_wait_s = 40.0",
                "gang_peer_s = 8.0",
                "cancel_s = 61.0",
                "",
                "[settings.state]",
                "rps = 250.0",
                "write_rps = 100.0",
                "value_kb = 16.0",
                "txn_ops = 48",
                "",
                next,
                "[settings.cloud]",
                "rps = 10.0",
                "list_lag_s = 6.0",
                "",
                "[settings.resources]",
                "cpu_share = 0.34",
                "ram_mb = 320.0",
                "max_sockets = 2500",
                "");
    }
}
