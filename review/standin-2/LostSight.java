import java.util.ArrayList;
import java.util.List;

/**
 * Case: the last job of a pipeline awaits some hundred jobs, nearly all of which are done, when all controllers crash,
 * and crash again 44 s later. Its user polls it for 90 s.
 */
final class LostSight {
    private static final int FIRST_JOBS = 200;
    private static final int DONE_JOBS = 195;
    private static final int CONTROL_JOBS = 10;
    private static final long RULE_MS = 90_000;
    private static final long AGAIN_MS = 44_000;
    private static final long RESTART_MS = 4000;

    private LostSight() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (World2 world = new World2(args[0], 5)) {
            world.state = new State2(16, 48, 150, 100);
            world.cloud = new Cloud2(world, 32);
            world.fetchSpeedup = 100;
            world.addControllers(7, World2.team("kurabito", 0, 0));
            for (World2.Controller controller : world.controllers) {
                world.start(controller);
            }
            for (int i = 0; i < 32; i++) {
                world.addMachine("taru", world.zones.get(i % 3), false);
            }
            if (world.awaitHealthy(30)) {
                code = run(world, trouble);
            } else {
                world.say("the controllers did not become healthy");
            }
            world.say("exit code " + code);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(World2 world, boolean trouble) throws Exception {
        List<World2.Job> first = new ArrayList<>();
        List<World2.Job> control = new ArrayList<>();
        for (int i = 0; i < FIRST_JOBS; i++) {
            World2.Job job = world.job(String.format("wk-%06d", 1000 + i), "kurabito", 1, 0.5, 1);
            world.body(job, "high");
            first.add(job);
        }
        World2.Job gate = world.job("wk-800000", "kurabito", 1, 1, 600);
        world.body(gate, "high");
        first.add(gate);
        for (int i = 0; i < CONTROL_JOBS; i++) {
            World2.Job job = world.job("wk-70000" + i, "kurabito", 1, 1, 600);
            world.body(job, "standard");
            control.add(job);
        }
        List<World2.Job> all = new ArrayList<>(control);
        all.add(gate);
        all.addAll(first.subList(0, FIRST_JOBS));
        // Every user submits to a node of their own; the last job follows as soon as the others are accepted.
        World2.Job last = world.job("wk-900000", "kurabito", 1, 1, 8);
        List<Thread> users = new ArrayList<>();
        for (int part = 0; part < 14; part++) {
            int from = part;
            users.add(Http2.start(() -> {
                for (int i = from; i < all.size(); i += 14) {
                    int node = from;
                    while (true) {
                        int status = world.submitOnce(all.get(i), world.controllers.get(node++ % 7));
                        if (status == 200 || status == 201) {
                            break;
                        }
                        Thread.sleep(300);
                    }
                }
            }));
        }
        for (Thread user : users) {
            user.join(40_000);
        }
        world.say(first.stream().filter(job -> job.accepted).count() + " first jobs accepted");
        last.awaits = first.stream().map(job -> job.uid).toList();
        world.body(last, "high");
        boolean accepted = world.submit(last);
        Object stored = world.state.value("dewlane/job/wk-900000");
        world.say("wk-900000 accepted: " + accepted + ", stored: " + Json2.write(stored).length() + " bytes");
        while (world.state.count("dewlane/final/") < DONE_JOBS && world.nowMs() < 27_000) {
            Thread.sleep(100);
        }
        world.say(world.state.count("dewlane/final/") + " of the first jobs are done");
        if (!accepted || world.state.count("dewlane/final/") < DONE_JOBS) {
            return 2;
        }
        for (World2.Controller controller : world.controllers) {
            if (world.poll(last, controller).status() != 200) {
                world.say("not answered before the crash");
                return 2;
            }
        }
        long crashedAt = world.nowMs();
        if (trouble) {
            crash(world);
            Http2.start(() -> {
                Thread.sleep(AGAIN_MS - (world.nowMs() - crashedAt));
                crash(world);
            });
        }
        // The users poll every 5 s, each time another node, until 90 s after the crash.
        int[] polls = new int[4];
        for (int round = 0; world.nowMs() - crashedAt < RULE_MS; round++) {
            long next = world.nowMs() + 5000;
            int node = round;
            List<Thread> polling = new ArrayList<>();
            for (World2.Job job : control) {
                polling.add(Http2.start(() -> pollOnce(world, job, node, polls, 2)));
            }
            int lastStatus = pollOnce(world, last, node, polls, 0);
            for (Thread user : polling) {
                user.join();
            }
            world.say("poll of wk-900000: " + lastStatus + "; so far " + polls[0] + " of " + polls[1]
                    + " answered, of other jobs " + polls[2] + " of " + polls[3]);
            if (polls[0] > 0 && trouble) {
                break;
            }
            Thread.sleep(Math.max(0, Math.min(next, crashedAt + RULE_MS) - world.nowMs()));
        }
        world.say("polls of wk-900000 answered: " + polls[0] + " of " + polls[1] + "; of " + CONTROL_JOBS
                + " other jobs: " + polls[2] + " of " + polls[3]);
        for (String line : world.logLines("read ")) {
            world.note(line);
        }
        if (polls[2] * 2 <= polls[3]) {
            return 2;
        }
        if (polls[0] > 0) {
            world.say("held");
            return 0;
        }
        world.say("BROKEN forgotten: every poll of wk-900000 failed for " + (world.nowMs() - crashedAt) + " ms");
        return 1;
    }

    private static void crash(World2 world) throws Exception {
        for (World2.Controller controller : world.controllers) {
            world.kill(controller);
        }
        Thread.sleep(RESTART_MS);
        for (World2.Controller controller : world.controllers) {
            world.start(controller);
        }
    }

    /** Polls a job at the next node; counts answers and polls from the given index. */
    private static int pollOnce(World2 world, World2.Job job, int round, int[] polls, int index) {
        int status = world.poll(job, world.controllers.get((round + index) % 7)).status();
        synchronized (polls) {
            polls[index] += status == 200 ? 1 : 0;
            polls[index + 1]++;
        }
        return status;
    }
}
