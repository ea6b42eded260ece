package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The worker of a {@link ChannelModel}: the state of its attempts, the highest token seen, and its messages. */
final class ChannelWorkerModel {
    /** The attempts, both launched with the first token. */
    enum Task {
        ONE,
        TWO;

        AttemptId id() {
            return new AttemptId("wk-1", ordinal(), 1);
        }
    }

    /** The state of an attempt on the worker. */
    enum TaskState {
        NEVER_SEEN,
        RUNNING,
        ENDED,
        FORGOTTEN
    }

    /** Commands to the worker, sent directly or in a response. */
    record CommandMessage(long token, Set<Task> launches, Set<Task> forgets) {
        Set<AttemptId> launchIds() {
            Set<AttemptId> ids = new HashSet<>();
            launches.forEach(task -> ids.add(task.id()));
            return ids;
        }
    }

    /** A heartbeat in flight. */
    record HeartbeatMessage(long sequence, long tokenSeen, Map<Task, TaskState> tasks) {}

    final Map<Task, TaskState> tasks = new EnumMap<>(Task.class);
    long tokenSeen;
    /** True once a launch has started an attempt that was forgotten. */
    boolean launchedAgain;

    private long sequence;

    ChannelWorkerModel() {
        for (Task task : Task.values()) {
            tasks.put(task, TaskState.NEVER_SEEN);
        }
    }

    ChannelWorkerModel(ChannelWorkerModel from) {
        tasks.putAll(from.tasks);
        tokenSeen = from.tokenSeen;
        sequence = from.sequence;
    }

    /** Executes commands. A task that they launch runs, or ends at once. */
    void execute(CommandMessage commands, TaskState started) {
        if (commands.token() < tokenSeen) {
            return;
        }
        tokenSeen = commands.token();
        for (Task task : commands.launches()) {
            launchedAgain |= tasks.get(task) == TaskState.FORGOTTEN;
            if (tasks.get(task) == TaskState.NEVER_SEEN) {
                tasks.put(task, started);
            }
        }
        for (Task task : commands.forgets()) {
            if (tasks.get(task) == TaskState.ENDED) {
                tasks.put(task, TaskState.FORGOTTEN);
            }
        }
    }

    /** Returns true if the worker refuses the command, which launches an attempt that was forgotten. */
    boolean refusesRelaunch(CommandMessage command) {
        return command.token() < tokenSeen
                && command.launches().stream().anyMatch(task -> tasks.get(task) == TaskState.FORGOTTEN);
    }

    HeartbeatMessage nextHeartbeat() {
        Map<Task, TaskState> reported = new EnumMap<>(Task.class);
        tasks.forEach((task, state) -> {
            if (state == TaskState.RUNNING || state == TaskState.ENDED) {
                reported.put(task, state);
            }
        });
        return new HeartbeatMessage(++sequence, tokenSeen, reported);
    }
}
