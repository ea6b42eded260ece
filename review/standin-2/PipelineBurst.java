import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: the last jobs of pipelines come three times as often as before. Each awaits the same 1300 jobs, which wait for
 * a machine. Controllers that end by themselves are started again, as the platform does.
 */
final class PipelineBurst {
    private static final int FIRST_JOBS = 1300;
    private static final int USUAL_LAST_JOBS = 200;
    private static final int BURST_FACTOR = 3;
    private static final int BURST_MS = 40_000;
    private static final int RESTART_MS = 4000;

    private PipelineBurst() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (World2 world = new World2(args[0], 6)) {
            world.state = new State2(16, 48, 250, 100);
            world.cloud = new Cloud2(world, 0);
            world.addControllers(3, World2.team("kurabito", 0, 0));
            for (World2.Controller controller : world.controllers) {
                world.start(controller);
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
        List<String> names = new ArrayList<>();
        List<World2.Job> first = new ArrayList<>();
        for (int i = 0; i < FIRST_JOBS; i++) {
            World2.Job job = world.job(String.format("wk-%06d", 1000 + i), "kurabito", 1, 1, 15);
            world.body(job, "idle");
            first.add(job);
            names.add(job.uid);
        }
        submit(world, first, 0, 30_000);
        world.say(first.stream().filter(job -> job.accepted).count() + " first jobs accepted");
        if (!first.stream().allMatch(job -> job.accepted) || ended(world) > 0) {
            return 2;
        }
        List<World2.Job> last = new ArrayList<>();
        int count = trouble ? BURST_FACTOR * USUAL_LAST_JOBS : USUAL_LAST_JOBS;
        for (int i = 0; i < count; i++) {
            World2.Job job = world.job(String.format("wk-%06d", 500_000 + i), "kurabito", 1, 1, 8);
            job.awaits = names;
            world.body(job, "high");
            last.add(job);
        }
        long from = world.nowMs();
        submit(world, last, BURST_MS / (double) count, BURST_MS);
        long accepted = last.stream().filter(job -> job.accepted).count();
        world.say(accepted + " of " + count + " last jobs accepted in " + (world.nowMs() - from) + " ms");
        long until = world.nowMs() + 5000;
        while (world.nowMs() < until && ended(world) == 0) {
            Thread.sleep(100);
        }
        int ends = ended(world);
        if (ends == 0) {
            int answered = 0;
            for (int i = 0; i < 30; i++) {
                answered += world.poll(last.get(i), world.controllers.get(i % 3)).status() == 200 ? 1 : 0;
            }
            world.say(answered + " of 30 polls answered, no controller has ended");
            return answered > 15 ? 0 : 2;
        }
        // The platform starts them again; nothing new is submitted.
        int again = 0;
        while (world.nowMs() < 78_000) {
            for (World2.Controller controller : world.controllers) {
                if (!controller.process.isAlive()) {
                    world.say(controller.name + " has ended by itself with code " + controller.process.exitValue());
                    again++;
                    Thread.sleep(RESTART_MS);
                    world.start(controller);
                }
            }
            Thread.sleep(200);
        }
        AtomicInteger answered = new AtomicInteger();
        List<Thread> polling = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            World2.Job job = i % 2 == 0 ? first.get(i) : last.get(i);
            World2.Controller at = world.controllers.get(i % 3);
            polling.add(Http2.start(() -> {
                if (world.poll(job, at).status() == 200) {
                    answered.incrementAndGet();
                }
            }));
        }
        for (Thread user : polling) {
            user.join(6000);
        }
        world.say("controllers have ended by themselves " + again + " times; " + answered + " of 30 polls answered");
        for (String line : world.logLines("OutOfMemory")) {
            world.note(line);
        }
        world.say("BROKEN: a controller ended by itself");
        return 1;
    }

    /** Returns how many controllers have ended. */
    private static int ended(World2 world) {
        return (int) world.controllers.stream().filter(c -> !c.process.isAlive()).count();
    }

    /** Submits jobs, one in each interval, until all are accepted, the time is up, or a controller has ended. */
    private static void submit(World2 world, List<World2.Job> jobs, double intervalMs, long timeMs) throws Exception {
        int parts = 12;
        long from = world.nowMs();
        List<Thread> users = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int begin = part;
            users.add(Http2.start(() -> {
                for (int i = begin; i < jobs.size(); i += parts) {
                    while (world.nowMs() < from + (long) (i * intervalMs) && ended(world) == 0) {
                        Thread.sleep(10);
                    }
                    for (int node = begin; world.nowMs() - from < timeMs && ended(world) == 0; node++) {
                        int status = world.submitOnce(jobs.get(i), world.controllers.get(node % 3));
                        if (status == 200 || status == 201) {
                            break;
                        }
                        Thread.sleep(300);
                    }
                }
            }));
        }
        for (Thread user : users) {
            user.join(timeMs + 6000);
        }
    }
}
