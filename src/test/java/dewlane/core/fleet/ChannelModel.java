package dewlane.core.fleet;

import dewlane.core.fleet.ChannelWorkerModel.CommandMessage;
import dewlane.core.fleet.ChannelWorkerModel.HeartbeatMessage;
import dewlane.core.fleet.ChannelWorkerModel.Task;
import dewlane.core.fleet.ChannelWorkerModel.TaskState;
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
    /** The state of an attempt in the store, as the owner has observed it. */
    enum StoredState {
        LIVE,
        END_REPORTED,
        END_DURABLE
    }

    private static final long FIRST_EPOCH = 1;

    /** The state from which this one was reached, and the action that led here; null for the first state. */
    private final ChannelModel previous;

    private final String action;

    /** The calls on the owner's channel since the beginning. Each model creates its channel by repeating them. */
    private final List<Consumer<CommandChannel>> steps = new ArrayList<>();

    final ChannelWorkerModel worker;
    final Map<Task, StoredState> stored = new EnumMap<>(Task.class);
    final Map<Task, TaskState> reported = new EnumMap<>(Task.class);
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
    private long acceptedSequence;

    ChannelModel() {
        previous = null;
        action = "start";
        worker = new ChannelWorkerModel();
        for (Task task : Task.values()) {
            stored.put(task, StoredState.LIVE);
        }
        step(channel -> channel.acquire(FIRST_EPOCH));
    }

    ChannelModel(ChannelModel from, String action) {
        this.previous = from;
        this.action = action;
        worker = new ChannelWorkerModel(from.worker);
        steps.addAll(from.steps);
        stored.putAll(from.stored);
        reported.putAll(from.reported);
        sentCommands.addAll(from.sentCommands);
        awaitedCommand = from.awaitedCommand;
        heartbeat = from.heartbeat;
        response = from.response;
        workerAwaitsResponse = from.workerAwaitsResponse;
        delayedHeartbeat = from.delayedHeartbeat;
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

    /**
     * Drops the commands that the worker refuses from now on, as it has seen a higher token.
     *
     * @return true if one of them would otherwise launch a task that was forgotten
     */
    boolean dropRefusedCommands() {
        boolean refusesRelaunch = sentCommands.stream().anyMatch(worker::refusesRelaunch);
        sentCommands.removeIf(command -> command.token() < worker.tokenSeen && !command.equals(awaitedCommand));
        return refusesRelaunch;
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
        StringBuilder text = new StringBuilder();
        text.append(stored).append(worker.tasks).append(reported);
        text.append(sentCommands.stream().map(CommandMessage::toString).sorted().collect(Collectors.joining()))
                .append(awaitedCommand);
        text.append(describe(heartbeat))
                .append(response)
                .append(workerAwaitsResponse)
                .append(describe(delayedHeartbeat));
        text.append(worker.tokenSeen)
                .append(' ')
                .append(raisedFences)
                .append(' ')
                .append(channel.fencingToken());
        for (Task task : Task.values()) {
            text.append(channel.mayForget(task.id()));
        }
        return text.toString();
    }

    private String describe(HeartbeatMessage received) {
        return received == null ? "-" : isNewer(received) + " " + received.tokenSeen() + received.tasks();
    }

    private boolean isNewer(HeartbeatMessage received) {
        return received.sequence() > acceptedSequence;
    }

    /**
     * Returns the commands that the planner would send, with the channel's rule for when an attempt may be forgotten.
     */
    CommandMessage planCommands() {
        CommandChannel channel = newChannel();
        Set<Task> launches = EnumSet.noneOf(Task.class);
        Set<Task> forgets = endedTasks();
        forgets.removeIf(task -> !channel.mayForget(task.id()));
        for (Task task : Task.values()) {
            if (channel.fencingToken() == firstToken()
                    && stored.get(task) == StoredState.LIVE
                    && !reported.containsKey(task)) {
                launches.add(task);
            }
        }
        return new CommandMessage(channel.fencingToken(), launches, forgets);
    }

    /** Returns the tasks that the worker is to forget, now or later. */
    private Set<Task> endedTasks() {
        Set<Task> ended = EnumSet.noneOf(Task.class);
        for (Task task : Task.values()) {
            if (stored.get(task) == StoredState.END_DURABLE && reported.get(task) == TaskState.ENDED) {
                ended.add(task);
            }
        }
        return ended;
    }

    /** Returns true if a task can be forgotten only after the fence is raised. */
    boolean isForgetDeferred() {
        CommandChannel channel = newChannel();
        return endedTasks().stream().anyMatch(task -> !channel.mayForget(task.id()));
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

    /** The owner accepts a heartbeat if it is newer than the latest accepted one; returns true if so. */
    boolean accept(HeartbeatMessage received) {
        if (!isNewer(received)) {
            return false;
        }
        acceptedSequence = received.sequence();
        reported.clear();
        reported.putAll(received.tasks());
        for (Task task : Task.values()) {
            boolean ended = received.tasks().get(task) == TaskState.ENDED;
            boolean fencedOff = !received.tasks().containsKey(task) && received.tokenSeen() > firstToken();
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
