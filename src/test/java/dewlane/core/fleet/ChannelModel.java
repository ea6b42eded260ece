package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * State of a model with a machine's owner and a worker with two attempts, connected by a {@link CommandChannel}: what
 * is stored, what is on the worker, and all messages that may still arrive. What a message may do follows the protocol:
 * a direct command, answered or not, may be carried out again at any later time as long as its token is valid; a
 * response is carried out at most once, while the worker awaits it. Each action is applied to a copy, which is not
 * changed after that.
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

    /** The state of an attempt in the store, as the owner has observed it. */
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

    /** Commands to the worker, sent directly or in a response. */
    record CommandMessage(long token, Set<Task> launches, Set<Task> forgets) {
        Set<AttemptId> launchIds() {
            Set<AttemptId> ids = new HashSet<>();
            launches.forEach(task -> ids.add(task.id()));
            return ids;
        }
    }

    /** A heartbeat in flight. */
    record HeartbeatMessage(long sequence, long tokenSeen, Map<Task, WorkerTaskState> tasks) {}

    private static final long FIRST_EPOCH = 1;

    /** The state from which this one was reached, and the action that led here; null for the first state. */
    private final ChannelModel previous;

    private final String action;

    /** The calls on the owner's channel since the beginning. Each model creates its channel by repeating them. */
    private final List<Consumer<CommandChannel>> steps = new ArrayList<>();

    final Map<Task, StoredState> stored = new EnumMap<>(Task.class);
    final Map<Task, WorkerTaskState> onWorker = new EnumMap<>(Task.class);
    final Map<Task, WorkerTaskState> reported = new EnumMap<>(Task.class);
    /** The direct commands sent so far whose token the worker may still accept. */
    final Set<CommandMessage> sentCommands = new HashSet<>();
    /** The direct command whose answer the owner awaits, or null. */
    CommandMessage awaitedCommand;

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
    int ownerChanges;
    boolean launchedAgain;
    private long tokenSeen;
    private long sequence;
    private long acceptedSequence;

    ChannelModel() {
        previous = null;
        action = "start";
        for (Task task : Task.values()) {
            stored.put(task, StoredState.LIVE);
            onWorker.put(task, WorkerTaskState.NEVER_SEEN);
        }
        step(channel -> channel.acquire(FIRST_EPOCH));
    }

    ChannelModel(ChannelModel from, String action) {
        this.previous = from;
        this.action = action;
        steps.addAll(from.steps);
        stored.putAll(from.stored);
        onWorker.putAll(from.onWorker);
        reported.putAll(from.reported);
        sentCommands.addAll(from.sentCommands);
        awaitedCommand = from.awaitedCommand;
        heartbeat = from.heartbeat;
        response = from.response;
        workerAwaitsResponse = from.workerAwaitsResponse;
        delayedHeartbeat = from.delayedHeartbeat;
        tokenSeen = from.tokenSeen;
        sequence = from.sequence;
        acceptedSequence = from.acceptedSequence;
        raisedFences = from.raisedFences;
        ownerChanges = from.ownerChanges;
    }

    private CommandChannel newChannel() {
        CommandChannel channel = new CommandChannel();
        steps.forEach(step -> step.accept(channel));
        return channel;
    }

    void step(Consumer<CommandChannel> step) {
        steps.add(step);
    }

    /** Returns the attempts of which a direct launch was sent that the worker would accept. */
    Set<Task> sentLaunches() {
        return sentCommands.stream()
                .filter(command -> command.token() >= tokenSeen)
                .flatMap(command -> command.launches().stream())
                .collect(Collectors.toSet());
    }

    /** Drops the commands that the worker refuses from now on, as it has seen a higher token. */
    void dropRefusedCommands() {
        sentCommands.removeIf(command -> command.token() < tokenSeen && !command.equals(awaitedCommand));
    }

    /** Returns the actions that led to this state, one a line. */
    String trace() {
        Deque<String> actions = new ArrayDeque<>();
        for (ChannelModel model = this; model != null; model = model.previous) {
            actions.addFirst(model.action);
        }
        return String.join("\n", actions);
    }

    /** Returns a description of the state. Models with equal descriptions have the same possible continuations. */
    String description() {
        CommandChannel channel = newChannel();
        CommandChannel withoutCommand = newChannel();
        withoutCommand.onCommandResolved();
        CommandChannel withoutAnswer = newChannel();
        withoutAnswer.onResponseResolved();
        StringBuilder text = new StringBuilder();
        text.append(stored).append(onWorker).append(reported);
        text.append(sentCommands.stream().map(CommandMessage::toString).sorted().collect(Collectors.joining()))
                .append(awaitedCommand);
        text.append(describe(heartbeat))
                .append(response)
                .append(workerAwaitsResponse)
                .append(describe(delayedHeartbeat));
        text.append(tokenSeen).append(' ').append(raisedFences).append(' ').append(channel.fencingToken());
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
        Set<Task> launches = EnumSet.noneOf(Task.class);
        Set<Task> forgets = EnumSet.noneOf(Task.class);
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
        channel.acquire(FIRST_EPOCH);
        return channel.fencingToken();
    }

    /** The owner sends a direct command. */
    void send(CommandMessage command) {
        step(channel -> channel.onCommandSent(command.launchIds(), 0));
        sentCommands.add(command);
        awaitedCommand = command;
    }

    /** A successor becomes the owner. It knows what is stored, and has received no heartbeat. */
    void changeOwner() {
        ownerChanges++;
        long epoch = FIRST_EPOCH + ownerChanges;
        steps.clear();
        step(channel -> channel.acquire(epoch));
        reported.clear();
        awaitedCommand = null;
        acceptedSequence = 0;
        stored.replaceAll((task, state) -> state == StoredState.END_REPORTED ? StoredState.LIVE : state);
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

    /** The owner accepts a heartbeat if it is newer than the latest accepted one; returns true if so. */
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

    /** The owner accepts a heartbeat and returns the response; null if it rejects the heartbeat. */
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
