package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * State of a model with a controller and a worker with two attempts, connected by a {@link CommandChannel}: what is
 * stored, what is on the worker, and all messages in flight. Each action is applied to a copy, which is not changed
 * after that.
 */
final class ChannelModel {
    /** The attempts, both launched with the first token. */
    enum Task {
        ONE,
        TWO;

        AttemptId id() {
            return new AttemptId("wk-1", ordinal(), 1);
        }
    }

    /** The state of an attempt in the store, as the controller has observed it. */
    enum StoredState {
        LIVE,
        END_REPORTED,
        END_DURABLE
    }

    /** The state of an attempt on the worker. */
    enum WorkerTaskState {
        NEVER_SEEN,
        RUNNING,
        ENDED,
        FORGOTTEN
    }

    /** Commands in flight to the worker, directly or in a response. */
    record CommandMessage(long token, Set<Task> launches, Set<Task> forgets) {
        Set<AttemptId> launchIds() {
            Set<AttemptId> ids = new HashSet<>();
            launches.forEach(task -> ids.add(task.id()));
            return ids;
        }
    }

    /** A heartbeat in flight. */
    record HeartbeatMessage(long sequence, long tokenSeen, Map<Task, WorkerTaskState> tasks) {}

    /** The calls on the channel since the beginning. Each model creates its channel by repeating them. */
    private final List<Consumer<CommandChannel>> steps = new ArrayList<>();

    final Map<Task, StoredState> stored = new EnumMap<>(Task.class);
    final Map<Task, WorkerTaskState> onWorker = new EnumMap<>(Task.class);
    final Map<Task, WorkerTaskState> reported = new EnumMap<>(Task.class);
    final List<CommandMessage> commandsInFlight = new ArrayList<>();
    /** The direct command whose answer the controller awaits; null if it awaits none or if that answer is lost. */
    CommandMessage awaitedCommand;

    boolean controllerAwaitsAnswer;
    /**
     * The heartbeat in flight, or else the response to it. The worker awaits the response, so at most one of them is in
     * flight.
     */
    HeartbeatMessage heartbeat;

    CommandMessage response;
    boolean workerAwaitsResponse;
    /** A heartbeat whose response the worker no longer awaits and that still arrives. */
    HeartbeatMessage delayedHeartbeat;

    int raisedFences;
    boolean launchedAgain;
    private long tokenSeen;
    private long sequence;
    private long acceptedSequence;

    ChannelModel() {
        for (Task task : Task.values()) {
            stored.put(task, StoredState.LIVE);
            onWorker.put(task, WorkerTaskState.NEVER_SEEN);
        }
        step(channel -> channel.acquire(1));
    }

    ChannelModel(ChannelModel from) {
        steps.addAll(from.steps);
        stored.putAll(from.stored);
        onWorker.putAll(from.onWorker);
        reported.putAll(from.reported);
        commandsInFlight.addAll(from.commandsInFlight);
        awaitedCommand = from.awaitedCommand;
        controllerAwaitsAnswer = from.controllerAwaitsAnswer;
        heartbeat = from.heartbeat;
        response = from.response;
        workerAwaitsResponse = from.workerAwaitsResponse;
        delayedHeartbeat = from.delayedHeartbeat;
        tokenSeen = from.tokenSeen;
        sequence = from.sequence;
        acceptedSequence = from.acceptedSequence;
        raisedFences = from.raisedFences;
    }

    private CommandChannel newChannel() {
        CommandChannel channel = new CommandChannel();
        steps.forEach(step -> step.accept(channel));
        return channel;
    }

    void step(Consumer<CommandChannel> step) {
        steps.add(step);
    }

    /** Returns a description of the state. Models with equal descriptions have the same possible continuations. */
    String description() {
        CommandChannel channel = newChannel();
        CommandChannel withoutCommand = newChannel();
        withoutCommand.onCommandResolved();
        CommandChannel withoutAnswer = newChannel();
        withoutAnswer.onResponseResolved();
        StringBuilder text = new StringBuilder();
        text.append(stored)
                .append(onWorker)
                .append(reported)
                .append(commandsInFlight)
                .append(controllerAwaitsAnswer);
        text.append(awaitedCommand == null ? -1 : commandsInFlight.indexOf(awaitedCommand));
        text.append(describe(heartbeat))
                .append(response)
                .append(workerAwaitsResponse)
                .append(describe(delayedHeartbeat));
        text.append(tokenSeen)
                .append(raisedFences)
                .append(channel.fencingToken())
                .append(channel.isCommandInFlight());
        for (Task task : Task.values()) {
            text.append(channel.isLaunchAbandoned(task.id()))
                    .append(withoutCommand.isLaunchInFlight(task.id()))
                    .append(withoutAnswer.isLaunchInFlight(task.id()));
        }
        return text.toString();
    }

    private String describe(HeartbeatMessage received) {
        return received == null ? "-" : isNewer(received) + " " + received.tokenSeen + received.tasks;
    }

    private boolean isNewer(HeartbeatMessage received) {
        return received.sequence > acceptedSequence;
    }

    /**
     * Returns the commands that the planner would send, with the channel's rule for when an attempt may be forgotten.
     */
    CommandMessage planCommands() {
        Set<Task> launches = new HashSet<>();
        Set<Task> forgets = new HashSet<>();
        for (Task task : Task.values()) {
            if (stored.get(task) == StoredState.END_DURABLE && reported.get(task) == WorkerTaskState.ENDED) {
                forgets.add(task);
            }
        }
        CommandChannel beforeFence = newChannel();
        if (forgets.stream().anyMatch(task -> beforeFence.isLaunchAbandoned(task.id()))) {
            step(CommandChannel::raiseFence);
        }
        CommandChannel channel = newChannel();
        forgets.removeIf(task -> channel.isLaunchInFlight(task.id()));
        for (Task task : Task.values()) {
            if (channel.fencingToken() == firstToken()
                    && stored.get(task) == StoredState.LIVE
                    && !reported.containsKey(task)) {
                launches.add(task);
            }
        }
        return new CommandMessage(channel.fencingToken(), launches, forgets);
    }

    private static long firstToken() {
        CommandChannel channel = new CommandChannel();
        channel.acquire(1);
        return channel.fencingToken();
    }

    /** The worker executes commands. A task that they launch runs, or ends at once. */
    void execute(CommandMessage commands, WorkerTaskState started) {
        if (commands.token() < tokenSeen) {
            return;
        }
        tokenSeen = commands.token();
        for (Task task : commands.launches()) {
            launchedAgain |= onWorker.get(task) == WorkerTaskState.FORGOTTEN;
            if (onWorker.get(task) == WorkerTaskState.NEVER_SEEN) {
                onWorker.put(task, started);
            }
        }
        for (Task task : commands.forgets()) {
            if (onWorker.get(task) == WorkerTaskState.ENDED) {
                onWorker.put(task, WorkerTaskState.FORGOTTEN);
            }
        }
    }

    HeartbeatMessage nextHeartbeat() {
        Map<Task, WorkerTaskState> tasks = new EnumMap<>(Task.class);
        onWorker.forEach((task, state) -> {
            if (state == WorkerTaskState.RUNNING || state == WorkerTaskState.ENDED) {
                tasks.put(task, state);
            }
        });
        return new HeartbeatMessage(++sequence, tokenSeen, tasks);
    }

    /** The controller accepts a heartbeat if it is newer than the latest accepted one; returns true if so. */
    boolean accept(HeartbeatMessage received) {
        if (!isNewer(received)) {
            return false;
        }
        acceptedSequence = received.sequence;
        reported.clear();
        reported.putAll(received.tasks);
        for (Task task : Task.values()) {
            boolean ended = received.tasks.get(task) == WorkerTaskState.ENDED;
            boolean fencedOff = !received.tasks.containsKey(task) && received.tokenSeen > firstToken();
            if (stored.get(task) == StoredState.LIVE && (ended || fencedOff)) {
                stored.put(task, StoredState.END_REPORTED);
            }
        }
        return true;
    }

    /** The controller accepts a heartbeat and returns the response; null if it rejects the heartbeat. */
    CommandMessage respondTo(HeartbeatMessage received) {
        if (!accept(received)) {
            return null;
        }
        step(CommandChannel::onResponseResolved);
        CommandMessage commands = planCommands();
        step(channel -> channel.onResponseSent(commands.launchIds()));
        return commands;
    }
}
