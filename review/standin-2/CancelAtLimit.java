import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Case: a job whose record only just fits into a stored value is cancelled after the state service has lowered its
 * limits, as the settings announced.
 */
final class CancelAtLimit {
    private static final int WITHIN_S = 60;

    private CancelAtLimit() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (World2 world = new World2(args[0], 4)) {
            world.state = new State2(16, 48, 250, 100);
            world.nextLimits = "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 16\nwrite_rps = 70.0\n";
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
        // The first jobs of a pipeline. There is no machine, so they wait.
        List<String> first = new ArrayList<>();
        Random random = new Random(54);
        List<World2.Job> jobs = new ArrayList<>();
        for (int number = 1000; first.size() < 600; number += 1050 + random.nextInt(400)) {
            World2.Job job = world.job(String.format("wk-%06d", number), "kurabito", 1, 1, 8);
            world.body(job, "idle");
            jobs.add(job);
            first.add(job.uid);
        }
        List<Thread> users = new ArrayList<>();
        for (int part = 0; part < 6; part++) {
            int from = part;
            users.add(Http2.start(() -> {
                for (int i = from; i < jobs.size(); i += 6) {
                    world.submit(jobs.get(i));
                    Thread.sleep(20);
                }
            }));
        }
        for (Thread user : users) {
            user.join(45_000);
        }
        List<String> accepted = new ArrayList<>();
        jobs.forEach(job -> {
            if (job.accepted) {
                accepted.add(job.uid);
            }
        });
        world.say(accepted.size() + " jobs accepted as the first of the pipeline");
        // The last job awaits as many of them as a submission may name: one less after each answer 400.
        World2.Job last = null;
        for (int size = accepted.size(); size > 0 && last == null; size--) {
            World2.Job job = world.job("wk-900000", "kurabito", 1, 1, 8);
            job.image = "registry/kurabito/dispatch-lists:2026-12-06";
            job.awaits = accepted.subList(0, size);
            world.body(job, "high");
            int status = world.submitOnce(job, world.controllers.get(0));
            if (status == 201 || status == 200) {
                last = job;
                world.say("wk-900000 is accepted with " + size + " jobs that it awaits");
            } else if (status != 400) {
                size++;
                Thread.sleep(1000);
            }
        }
        if (last == null || last.awaits.size() == accepted.size()) {
            world.say("no submission reached the limit");
            return 2;
        }
        int bytes = Json2.write(world.state.value("dewlane/job/wk-900000")).length();
        world.say("its stored record has " + bytes + " bytes");
        if (trouble) {
            world.say("the state service lowers its limits: values of 2 KiB, 16 changes, 70 changes a second");
            world.state.valueBytes = 2048;
            world.state.txnOps = 16;
            world.state.writeRps = 70;
        }
        Thread.sleep(2000);
        // A user cancels it, and asks again for 60 s. Another user cancels one of the first jobs.
        long until = world.nowMs() + WITHIN_S * 1000L;
        int asked = 0;
        while (world.nowMs() < until && !last.saidAborted && !last.saidDone) {
            Http2.Answer answer = world.cancel(last, world.controllers.get(asked % 3));
            if (asked++ == 0 || asked % 10 == 0) {
                world.say("abort of wk-900000: " + answer.status() + " " + answer.body());
            }
            Thread.sleep(1000);
        }
        World2.Job other = world.jobs.get(accepted.get(accepted.size() - 1));
        Http2.Answer control = world.cancel(other, world.controllers.get(1));
        world.say("abort of " + other.uid + ": " + control.status() + " " + control.body());
        world.say("poll of wk-900000: " + world.poll(last, world.controllers.get(2)).body());
        world.say("answers of the state service to invalid transactions: " + world.state.refusedBodies);
        for (String line : world.logLines("invalid")) {
            world.note(line);
        }
        if (control.status() != 200) {
            return 2;
        }
        if (last.saidAborted || last.saidDone) {
            world.say("held: the cancellation is answered after " + asked + " requests");
            return 0;
        }
        world.say("BROKEN: " + asked + " requests in " + WITHIN_S + " s to cancel wk-900000, none answered");
        return 1;
    }
}
