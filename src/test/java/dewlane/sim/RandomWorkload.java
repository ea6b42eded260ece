package dewlane.sim;

import dewlane.core.message.Effect;
import dewlane.core.message.Effect.JobCondition;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.model.Priority;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Generates random jobs of three teams, and invalid or unusual requests. */
final class RandomWorkload {
    private static final int FIRST_UNUSUAL_JOB = 900_000;
    private static final int RECENT_JOBS = 6;

    private final SimCluster cluster;
    private int nextJob = 1;
    /** The share of jobs with dependencies. */
    double dependencyRate;

    RandomWorkload(SimCluster cluster) {
        this.cluster = cluster;
    }

    void submitRandomJob() {
        String id = SimFixtures.jobId(nextJob++);
        Job job = randomJob(id);
        cluster.users.submit(cluster.chance(dependencyRate) ? job.withDependencies(randomDependencies()) : job);
        if (cluster.chance(0.25)) {
            cluster.after(cluster.randomBetween(50, 25_000), () -> cluster.users.cancel(id));
        }
    }

    private Job randomJob(String id) {
        String team = List.of("blue", "red", "green").get(cluster.random.nextInt(3));
        boolean oneZone = cluster.chance(0.15);
        return JobBuilder.job(id)
                .team(team)
                .priority(Priority.values()[cluster.random.nextInt(4)])
                .tasks(cluster.randomBetween(1, 14))
                .cpus(cluster.randomBetween(1, 2))
                .memoryGb(cluster.randomBetween(1, 5))
                .image("image-" + cluster.random.nextInt(3))
                .types(cluster.chance(0.2) ? List.of("large") : List.of())
                .zone(cluster.chance(0.2) ? "east" : null)
                .sameZone(oneZone)
                .spreadZones(!oneZone && cluster.chance(0.15))
                .spotAllowed(cluster.chance(0.7))
                .expectedRunS(cluster.randomBetween(1, 12))
                .checkpointIntervalS(cluster.chance(0.5) ? 5 : 0)
                .checkpointDurationS(cluster.chance(0.5) ? 2 : 0)
                .deadlineS(cluster.chance(dependencyRate) ? 60 : 0)
                .build();
    }

    /** Returns up to four accepted jobs in any state, mostly recent ones. */
    private List<String> randomDependencies() {
        List<String> accepted = cluster.users.accepted();
        Set<String> chosen = new LinkedHashSet<>();
        for (int n = cluster.randomBetween(1, 4); n > 0 && !accepted.isEmpty(); n--) {
            int from = cluster.chance(0.7) ? Math.max(0, accepted.size() - RECENT_JOBS) : 0;
            chosen.add(accepted.get(cluster.randomBetween(from, accepted.size() - 1)));
        }
        return List.copyOf(chosen);
    }

    /**
     * Sends a random request of these: a job that fits no machine, a job that lacks a field, a repeated submission, the
     * cancellation of a job that is done, or a job with an unknown dependency.
     */
    void sendUnusualRequest() {
        SimController controller = cluster.users.randomLiveController();
        if (controller == null) {
            return;
        }
        String id = SimFixtures.jobId(FIRST_UNUSUAL_JOB + nextJob);
        switch (cluster.random.nextInt(dependencyRate > 0 ? 5 : 4)) {
            case 0 -> submitTooLarge(controller, id);
            case 1 -> controller.submitMalformed(id, answer -> expectStatus(answer, 400, "a job that lacks a field"));
            case 2 -> resubmitUnfinished(controller);
            case 3 -> cancelDone(controller);
            default -> submitWithUnknownDependency(controller);
        }
    }

    private void submitTooLarge(SimController controller, String id) {
        Job huge = JobBuilder.job(id)
                .team("red")
                .tasks(2)
                .cpus(999)
                .expectedRunS(5)
                .build();
        controller.submit(huge, answer -> expectStatus(answer, 422, "a job that fits no machine"));
    }

    private void submitWithUnknownDependency(SimController controller) {
        Job dependant = SimFixtures.job(FIRST_UNUSUAL_JOB + nextJob, Priority.HIGH, 1, 1, 1)
                .withDependencies(List.of(SimUsers.UNKNOWN_JOB));
        controller.submit(
                dependant, answer -> expectStatus(answer, 422, "a job with a dependency that was never accepted"));
    }

    private void resubmitUnfinished(SimController controller) {
        cluster.users.accepted().stream()
                .filter(id -> !cluster.users.isFinished(id))
                .findAny()
                .ifPresent(id -> cluster.users.resubmitThrough(controller, id));
    }

    private void cancelDone(SimController controller) {
        cluster.users.accepted().stream()
                .filter(id -> cluster.checker.lastReportedCondition(id) == JobCondition.DONE)
                .findAny()
                .ifPresent(id -> controller.cancel(id, answer -> {
                    expectStatus(answer, 200, "cancelling what is done");
                    cluster.users.onAnswer(id, answer);
                }));
    }

    private void expectStatus(Effect.AnswerUser answer, int status, String request) {
        if (answer.status() != status && answer.status() != 503) {
            cluster.checker.fail("unexpected_status", request + " was answered " + answer);
        }
    }
}
