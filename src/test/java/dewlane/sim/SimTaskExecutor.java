package dewlane.sim;

import dewlane.core.model.Heartbeat.ExitReason;
import dewlane.core.model.Heartbeat.Phase;
import dewlane.core.model.Job;
import dewlane.core.model.WorkerCommand;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The part of a worker that executes commands: it launches, stops and forgets attempts, and runs them to their end. */
final class SimTaskExecutor {
    private static final double CPU_TOLERANCE = 1e-9;
    private static final int MAX_FETCH_MS = 1500;
    private static final long FAILING_TASK_MS = 200;

    private final SimWorker worker;
    private final SimCluster cluster;
    private final Map<String, SimAttempt> attempts = new LinkedHashMap<>();
    /** Attempts forgotten by command in this incarnation. A delayed launch command must not start them again. */
    private final Set<String> forgotten = new HashSet<>();

    /** How many attempts were forgotten that had ended for each reason. */
    final Map<ExitReason, Integer> forgottenByReason = new EnumMap<>(ExitReason.class);
    /** Launches of forgotten attempts that were refused for their token. */
    int refusedRelaunches;
    /** Attempts forgotten while a command that launches them was still in flight. */
    int forgottenBeforeDelayedLaunch;

    SimTaskExecutor(SimWorker worker) {
        this.worker = worker;
        this.cluster = worker.cluster;
    }

    Collection<SimAttempt> attempts() {
        return attempts.values();
    }

    void clearAttempts() {
        attempts.clear();
    }

    void reset() {
        attempts.clear();
        forgotten.clear();
    }

    /** True if there are enough free CPUs for a task of the job. */
    boolean fits(Job job) {
        return reservedCpus() + job.cpus() <= worker.type.cpus() + CPU_TOLERANCE;
    }

    private double reservedCpus() {
        double cpus = 0;
        for (SimAttempt attempt : attempts.values()) {
            cpus += attempt.hasExited() ? 0 : cluster.users.job(attempt.job).cpus();
        }
        return cpus;
    }

    /** Advances attempts whose phase has ended. */
    void advance() {
        for (SimAttempt attempt : List.copyOf(attempts.values())) {
            if (cluster.now() < attempt.phaseEndsAt) {
                continue;
            }
            switch (attempt.phase) {
                case FETCHING -> start(attempt);
                case RUNNING -> exit(attempt, worker.failsTasks ? ExitReason.ERROR : ExitReason.DONE);
                case SAVING -> exit(attempt, ExitReason.STOPPED);
                default -> {}
            }
        }
    }

    private void start(SimAttempt attempt) {
        if (cluster.checker.isTaskDone(attempt.job, attempt.task)) {
            exit(attempt, ExitReason.DONE);
            return;
        }
        attempt.phase = Phase.RUNNING;
        attempt.phaseEndsAt = cluster.now() + (worker.failsTasks ? FAILING_TASK_MS : randomRunMs(attempt));
        cluster.trace("start " + attempt + " on " + worker.name);
        cluster.checker.onTaskStarted(worker, attempt);
        worker.heartbeats.sendSoon();
    }

    private long randomRunMs(SimAttempt attempt) {
        return (long) (cluster.users.job(attempt.job).expectedRunS() * cluster.randomBetween(500, 1500));
    }

    private void exit(SimAttempt attempt, ExitReason end) {
        attempt.exit(end);
        cluster.trace("exit " + attempt + " on " + worker.name + " " + end);
        if (end == ExitReason.DONE) {
            cluster.checker.onTaskDone(attempt.job, attempt.task);
            cluster.users.onTaskDone(attempt.job);
        }
        worker.heartbeats.sendSoon();
    }

    void execute(WorkerCommand command, long sentAt) {
        String key = key(command);
        SimAttempt attempt = attempts.get(key);
        switch (command.action()) {
            case LAUNCH -> {
                if (attempt == null) {
                    launch(command, key, sentAt);
                }
            }
            case STOP -> {
                if (attempt != null && !attempt.hasExited()) {
                    stop(attempt, command.graceS());
                }
            }
            case FORGET -> {
                if (attempt != null && attempt.hasExited()) {
                    forget(command, key, attempt.end);
                }
            }
        }
        worker.heartbeats.sendSoon();
    }

    /** Called when a command is refused because of its token. */
    void onRefused(List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            boolean relaunch = command.action() == WorkerCommand.Action.LAUNCH && forgotten.contains(key(command));
            refusedRelaunches += relaunch ? 1 : 0;
        }
    }

    private static String key(WorkerCommand command) {
        return command.job() + "/" + command.task() + "#" + command.attempt();
    }

    private void launch(WorkerCommand command, String key, long sentAt) {
        if (forgotten.contains(key)) {
            cluster.checker.fail(
                    "relaunched_after_forget", key + " on " + worker.name + " after the command to forget it");
        }
        SimAttempt attempt = new SimAttempt(command.job(), command.task(), command.attempt(), sentAt);
        boolean busy = attempts.values().stream()
                .anyMatch(
                        other -> !other.hasExited() && other.job.equals(command.job()) && other.task == command.task());
        boolean fits = !worker.refusesTasks && fits(cluster.users.job(command.job()));
        attempts.put(key, attempt);
        if (busy) {
            attempt.exit(ExitReason.BUSY);
        } else if (!fits) {
            attempt.exit(ExitReason.NO_ROOM);
        } else {
            attempt.phaseEndsAt = cluster.now() + cluster.randomBetween(0, MAX_FETCH_MS);
        }
    }

    /** Lets a running task save its work if the grace period suffices, and ends the attempt otherwise. */
    private void stop(SimAttempt attempt, double graceS) {
        double saveS = cluster.users.job(attempt.job).checkpointDurationS();
        if (attempt.phase == Phase.RUNNING && saveS > 0 && graceS >= saveS) {
            attempt.phase = Phase.SAVING;
            attempt.phaseEndsAt = cluster.now() + (long) (saveS * 1000);
        } else if (attempt.phase != Phase.SAVING || graceS == 0) {
            exit(attempt, ExitReason.STOPPED);
        }
    }

    private void forget(WorkerCommand command, String key, ExitReason reason) {
        forgottenByReason.merge(reason, 1, Integer::sum);
        attempts.remove(key);
        forgotten.add(key);
        forgottenBeforeDelayedLaunch += cluster.commands.hasLaunchInFlight(worker.name, command) ? 1 : 0;
    }
}
